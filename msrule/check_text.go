package msrule

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// badCharacter returns the column, from 1, and the description of the first
// character that may not stand in a line. The description is empty where there
// is none.
func badCharacter(text string) (column int, reason string) {
	for i, c := range text {
		column++
		if c == utf8.RuneError && !strings.HasPrefix(text[i:], string(utf8.RuneError)) {
			return column, fmt.Sprintf("byte 0x%02X is not UTF-8", text[i])
		}
		if c != '\t' && isControl(c) {
			return column, fmt.Sprintf("%U is a control character", c)
		}
	}
	return 0, ""
}

// isControl reports characters that an editor doesn't show as they are: control
// codes, separators of lines, and those that reorder the text around them.
func isControl(c rune) bool {
	const byteOrderMark = '\uFEFF'
	return unicode.IsControl(c) || c == byteOrderMark ||
		unicode.In(c, unicode.Zl, unicode.Zp, unicode.Bidi_Control)
}

// IsName reports whether name can be written in a rule and in a path of HTTP.
func IsName(name string) bool {
	for i, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("-_.", c)) {
			return false
		}
	}
	return name != "" && len(name) <= MaxName
}

// checkNames reports names that are wrong or given twice, and comments that
// don't say who asked.
func (c *checker) checkNames() {
	index := map[string]int{}
	for _, r := range c.set.rules() {
		s := c.subject(r, index[r.kind])
		index[r.kind]++
		s.checkName(fieldName, r.name)
		before, ok := c.names[r.id()]
		switch {
		case !ok:
			c.names[r.id()] = r
		case r.kind == kindVM && before.fields[0] != r.fields[0]:
			s.fault("pool", "the VM is in pool "+before.fields[0].value+" already"+onLine(before), "want each VM in one pool")
		default:
			s.fault(fieldName, "there is a "+r.kind+" "+r.name+" already"+onLine(before), "want each name once")
		}
		s.checkAskedBy(r.origin.AskedBy)
		if n := len(r.String()); n > MaxLine {
			s.fault(fieldLine, fmt.Sprintf("the rule is %d bytes when written out", n), fmt.Sprintf("want at most %d bytes", MaxLine))
		}
	}
}

// onLine tells where a rule stands, if that is known.
func onLine(r rule) string {
	if r.origin.Line == 0 {
		return ""
	}
	return fmt.Sprintf(" on line %d", r.origin.Line)
}

func (s subject) checkName(field, name string) {
	if !IsName(name) {
		want := fmt.Sprintf("want 1 to %d letters, digits, - _ or . after a letter or digit", MaxName)
		s.fault(field, fmt.Sprintf("%q is no name", name), want)
	}
}

func (s subject) checkAskedBy(text string) {
	if strings.TrimSpace(text) == "" {
		s.fault(fieldAskedBy, "the rule doesn't say who asked for it", "give a name")
		return
	}
	if _, reason := badCharacter(text); reason != "" {
		s.fault(fieldAskedBy, reason, "remove it")
	}
	if strings.TrimSpace(text) != text {
		s.fault(fieldAskedBy, "blanks stand around the text", "remove them")
	}
}

// checkDigest reports a digest that isn't one. It never repeats the text, which
// could be a secret.
func (s subject) checkDigest(digest string) {
	if secretIndex(digest) >= 0 {
		s.fault("digest", secretShown, secretAdvice)
		return
	}
	const lowerHex = "0123456789abcdef"
	if len(digest) != digestDigits || strings.Trim(digest, lowerHex) != "" {
		s.fault("digest", "this is no digest", fmt.Sprintf("want %d digits of lower-case hexadecimal", digestDigits))
	}
}

// teamNames returns the names of all teams in their order.
func (s Set) teamNames() []string {
	var names []string
	for _, t := range s.Teams {
		names = append(names, t.Name)
	}
	return names
}
