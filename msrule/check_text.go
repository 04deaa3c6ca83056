package msrule

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// badCharacter returns the column, from 1, and the description of the first
// character that isn't allowed in a line. If there is none, the description is
// empty.
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

// isControl reports whether editors may hide c or reorder the text around it:
// control codes, the byte order mark, line and paragraph separators and
// bidirectional controls.
func isControl(c rune) bool {
	const byteOrderMark = '\uFEFF'
	return unicode.IsControl(c) || c == byteOrderMark ||
		unicode.In(c, unicode.Zl, unicode.Zp, unicode.Bidi_Control)
}

// IsValidName reports whether name is valid in a rule and in an HTTP path.
func IsValidName(name string) bool {
	for i, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("-_.", c)) {
			return false
		}
	}
	return name != "" && len(name) <= MaxNameLength
}

// checkNames reports invalid and duplicate names, invalid comments, and rules too
// long for a line of a rules file.
func (c *checker) checkNames() {
	index := map[string]int{}
	for _, r := range c.set.rules() {
		s := c.ruleChecker(r, index[r.kind])
		index[r.kind]++
		s.checkName(fieldName, r.name)
		before, ok := c.names[r.id()]
		switch {
		case !ok:
			c.names[r.id()] = r
		case r.kind == kindVM && before.fields[0] != r.fields[0]:
			s.addError("pool", "the VM is in pool "+before.fields[0].value+" already"+onLine(before), "want each VM in one pool")
		default:
			s.addError(fieldName, "duplicate "+r.kind+" "+r.name+", already defined"+onLine(before), "want each name once")
		}
		s.checkAskedBy(r.origin.AskedBy)
		if n := len(r.String()); n > MaxLineLength {
			s.addError(fieldLine, fmt.Sprintf("the formatted rule is %d bytes long", n), fmt.Sprintf("want at most %d bytes", MaxLineLength))
		}
	}
}

// onLine returns the line number of a rule as text, or nothing if it is unknown.
func onLine(r rule) string {
	if r.origin.Line == 0 {
		return ""
	}
	return fmt.Sprintf(" on line %d", r.origin.Line)
}

func (s ruleChecker) checkName(field, name string) {
	if !IsValidName(name) {
		want := fmt.Sprintf("want 1 to %d letters, digits, - _ or . after a letter or digit", MaxNameLength)
		s.addError(field, fmt.Sprintf("%q is no name", name), want)
	}
}

func (s ruleChecker) checkAskedBy(text string) {
	if strings.TrimSpace(text) == "" {
		s.addError(fieldAskedBy, "the rule doesn't say who asked for it", "give a name")
		return
	}
	if _, reason := badCharacter(text); reason != "" {
		s.addError(fieldAskedBy, reason, "remove it")
	}
	if strings.TrimSpace(text) != text {
		s.addError(fieldAskedBy, "the text has leading or trailing blanks", "remove them")
	}
}

// checkDigest reports an invalid digest. The error never includes the text, which
// could be a secret.
func (s ruleChecker) checkDigest(digest string) {
	if secretIndex(digest) >= 0 {
		s.addError("digest", secretExposed, secretAdvice)
		return
	}
	const lowerHex = "0123456789abcdef"
	if len(digest) != digestDigits || strings.Trim(digest, lowerHex) != "" {
		s.addError("digest", "this is no digest", fmt.Sprintf("want %d digits of lower-case hexadecimal", digestDigits))
	}
}

// teamNames returns the names of all teams in the order of the set.
func (s Set) teamNames() []string {
	var names []string
	for _, t := range s.Teams {
		names = append(names, t.Name)
	}
	return names
}
