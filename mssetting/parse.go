package mssetting

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"marjoramspan/msrule"
)

// MaxFile is the longest settings file, in bytes.
const MaxFile = 64 * kibibyte

// Load reads and checks a settings file. Its error is a *ReadError where the
// file can't be read, and Errors with all its faults where it is wrong.
func Load(file string) (Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Err: err}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return Settings{}, &ReadError{File: file, Err: err}
	}
	return Parse(file, data)
}

// Parse checks the text of a settings file. Its error is Errors, with all the
// faults; file is the name that they are reported under.
func Parse(file string, data []byte) (Settings, error) {
	p := parser{file: file, settings: Defaults(), lines: map[setRef]int{}, faulty: map[setRef]bool{}}
	if text, ok := p.scan(data); ok {
		p.read(text)
	}
	if err := p.errs.orNil(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

// parser collects the settings and faults of a file.
type parser struct {
	file     string
	settings Settings
	lines    map[setRef]int
	faulty   map[setRef]bool
	errs     Errors
}

// setRef names a setting. One without a key names a section.
type setRef struct {
	section string
	key     string
}

// scan finds the lines of sections and keys, which the library doesn't tell,
// and refuses what the library would take although it is probably a slip. It
// returns the text without the lines that it refused, and false where there is
// no text to read.
func (p *parser) scan(data []byte) ([]byte, bool) {
	switch {
	case len(data) > MaxFile:
		p.add(0, setRef{}, "the file is too long", fmt.Sprintf("want at most %d bytes", MaxFile))
		return nil, false
	case !utf8.Valid(data):
		p.add(0, setRef{}, "the file is not UTF-8", "save it as UTF-8")
		return nil, false
	}
	var kept []string
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(withoutComment(line))
		switch {
		case line == "":
		case line[0] == '[':
			section = p.scanSection(i+1, line)
			kept = append(kept, "["+section+"]")
		case p.scanKey(i+1, line, section):
			kept = append(kept, line)
		}
	}
	return []byte(strings.Join(kept, "\n")), true
}

// withoutComment returns the line up to a # or ; that begins it or follows a
// blank.
func withoutComment(line string) string {
	for i, c := range line {
		if (c == '#' || c == ';') && (i == 0 || line[i-1] == ' ' || line[i-1] == '\t') {
			return line[:i]
		}
	}
	return line
}

// scanSection remembers the line of a section and returns its name.
func (p *parser) scanSection(n int, line string) string {
	name, rest, ok := strings.Cut(line[1:], "]")
	ref := setRef{section: name}
	if !ok || rest != "" || name == "" {
		p.add(n, ref, fmt.Sprintf("%q is no section", line), "want its name in [ ] on a line of its own")
		return name
	}
	p.remember(n, ref)
	return name
}

// scanKey remembers the line of a key and reports whether its value can be read.
func (p *parser) scanKey(n int, line, section string) bool {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	ref := setRef{section, key}
	switch {
	case !ok || key == "":
		p.add(n, setRef{section: section}, fmt.Sprintf("%q is no setting", line), "want key = value")
		return false
	case section == "":
		p.add(n, ref, "the key stands before any section", "put it below its [section]")
		return false
	case strings.ContainsAny(line, "`\"'\\"):
		p.add(n, ref, fmt.Sprintf("%q holds a quote or a backslash", strings.TrimSpace(value)), "give the bare value")
		return false
	}
	return p.remember(n, ref)
}

// remember keeps the line of a section or key, and refuses a second one.
func (p *parser) remember(n int, ref setRef) bool {
	if before, ok := p.lines[ref]; ok {
		p.add(n, ref, fmt.Sprintf("it is given on line %d already", before), "give it once")
		return false
	}
	p.lines[ref] = n
	return true
}

func (p *parser) add(line int, ref setRef, reason, want string) {
	p.faulty[ref] = true
	p.errs = append(p.errs, Error{
		File: p.file, Line: line, Section: ref.section, Key: ref.key, Reason: reason, Want: want,
	})
}

// fault reports a setting at its line, once.
func (p *parser) fault(section, key, reason, want string) {
	ref := setRef{section, key}
	if p.faulty[ref] {
		return
	}
	p.add(p.lines[ref], ref, reason, want)
}

// read takes the values of all keys and checks them.
func (p *parser) read(data []byte) {
	options := ini.LoadOptions{IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "="}
	f, err := ini.LoadSources(options, data)
	if err != nil {
		p.add(0, setRef{}, err.Error(), "want [section] and key = value lines")
		return
	}
	p.refuseUnknown(f)
	for _, s := range table {
		p.readSetting(s, f.Section(s.section))
	}
	if p.settings.Entry.Advertise == "" {
		p.settings.Entry.Advertise = p.settings.Entry.PeerListen
	}
	p.crossCheck()
}

// refuseUnknown reports sections and keys that mean nothing.
func (p *parser) refuseUnknown(f *ini.File) {
	for _, section := range f.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && p.lines[setRef{section: name}] == 0 {
			continue // The library adds this section to every file.
		}
		if !slices.Contains(sections(), name) {
			p.fault(name, "", "unknown section", msrule.Suggest(name, sections()))
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(keys(name), key) {
				p.fault(name, key, "unknown key", msrule.Suggest(key, keys(name)))
			}
		}
	}
}

// readSetting takes the value of one setting, where the file gives it.
func (p *parser) readSetting(s setting, section *ini.Section) {
	given := section.HasKey(s.key)
	text := ""
	if given {
		text = section.Key(s.key).Value()
	}
	switch {
	case s.required && text == "":
		p.fault(s.section, s.key, "missing", "the setting is required")
	case given:
		if reason, want := s.value.set(&p.settings, text); reason != "" {
			p.fault(s.section, s.key, reason, want)
		}
	}
}
