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

// MaxFileSize is the maximum size of a settings file, in bytes.
const MaxFileSize = 64 * kibibyte

// Load reads, parses and validates a settings file. It returns a *ReadError if
// the file can't be read, and Errors with every problem if it is invalid.
func Load(file string) (Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Err: err}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileSize+1))
	if err != nil {
		return Settings{}, &ReadError{File: file, Err: err}
	}
	return Parse(file, data)
}

// Parse parses and validates the text of a settings file. It returns Errors with
// every problem if the text is invalid; file is the file name used in them.
func Parse(file string, data []byte) (Settings, error) {
	p := parser{file: file, settings: Defaults(), lines: map[settingID]int{}, invalid: map[settingID]bool{}}
	if text, ok := p.scanLines(data); ok {
		p.readValues(text)
	}
	if err := p.errs.errorOrNil(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

// parser collects the settings of a file and the errors found in it.
type parser struct {
	file     string
	settings Settings
	lines    map[settingID]int
	invalid  map[settingID]bool
	errs     Errors
}

// settingID identifies a setting, or a section if key is empty.
type settingID struct {
	section string
	key     string
}

// scanLines records the line numbers of sections and keys, which the INI library
// does not report, and rejects syntax that the library accepts but that is
// probably a mistake. It returns the text without comments and rejected keys, or
// false if the text can't be parsed at all.
func (p *parser) scanLines(data []byte) ([]byte, bool) {
	switch {
	case len(data) > MaxFileSize:
		p.addError(0, settingID{}, "the file is too long", fmt.Sprintf("want at most %d bytes", MaxFileSize))
		return nil, false
	case !utf8.Valid(data):
		p.addError(0, settingID{}, "the file is not UTF-8", "save it as UTF-8")
		return nil, false
	}
	var kept []string
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(stripComment(line))
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

// stripComment returns the line up to the first # or ; that is at its start or
// follows a space or tab.
func stripComment(line string) string {
	for i, c := range line {
		if (c == '#' || c == ';') && (i == 0 || line[i-1] == ' ' || line[i-1] == '\t') {
			return line[:i]
		}
	}
	return line
}

// scanSection records the line number of a section header and returns the name
// of the section.
func (p *parser) scanSection(n int, line string) string {
	name, rest, ok := strings.Cut(line[1:], "]")
	ref := settingID{section: name}
	if !ok || rest != "" || name == "" {
		p.addError(n, ref, fmt.Sprintf("%q is not a section header", line), "want [name] on a line of its own")
		return name
	}
	p.recordLine(n, ref)
	return name
}

// scanKey records the line number of a key and reports whether the line is valid.
func (p *parser) scanKey(n int, line, section string) bool {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	ref := settingID{section, key}
	switch {
	case !ok || key == "":
		p.addError(n, settingID{section: section}, fmt.Sprintf("%q is not a setting", line), "want key = value")
		return false
	case section == "":
		p.addError(n, ref, "the key is outside any section", "put it below its [section]")
		return false
	case strings.ContainsAny(line, "`\"'\\"):
		p.addError(n, ref, fmt.Sprintf("%q contains a quote or a backslash", strings.TrimSpace(value)), "want a value without either")
		return false
	}
	return p.recordLine(n, ref)
}

// recordLine records the line number of a section or key, and reports an error
// for a duplicate.
func (p *parser) recordLine(n int, ref settingID) bool {
	if firstLine, ok := p.lines[ref]; ok {
		p.addError(n, ref, fmt.Sprintf("already set on line %d", firstLine), "give it once")
		return false
	}
	p.lines[ref] = n
	return true
}

func (p *parser) addError(line int, ref settingID, reason, want string) {
	p.invalid[ref] = true
	p.errs = append(p.errs, Error{
		File: p.file, Line: line, Section: ref.section, Key: ref.key, Reason: reason, Want: want,
	})
}

// addSettingError reports an error for a setting at its line. Only the first
// error for each setting is kept.
func (p *parser) addSettingError(section, key, reason, want string) {
	ref := settingID{section, key}
	if p.invalid[ref] {
		return
	}
	p.addError(p.lines[ref], ref, reason, want)
}

// readValues parses the INI text, reads the values of all keys and validates them.
func (p *parser) readValues(data []byte) {
	options := ini.LoadOptions{IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "="}
	f, err := ini.LoadSources(options, data)
	if err != nil {
		p.addError(0, settingID{}, err.Error(), "want [section] and key = value lines")
		return
	}
	p.rejectUnknown(f)
	for _, s := range settingsTable {
		p.readSetting(s, f.Section(s.section))
	}
	if p.settings.Entry.Advertise == "" {
		p.settings.Entry.Advertise = p.settings.Entry.PeerListen
	}
	p.crossCheck()
}

// rejectUnknown reports unknown sections and keys.
func (p *parser) rejectUnknown(f *ini.File) {
	for _, section := range f.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && p.lines[settingID{section: name}] == 0 {
			continue // The library adds the default section to every file.
		}
		if !slices.Contains(sections(), name) {
			p.addSettingError(name, "", "unknown section", msrule.Suggest(name, sections()))
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(keys(name), key) {
				p.addSettingError(name, key, "unknown key", msrule.Suggest(key, keys(name)))
			}
		}
	}
}

// readSetting reads one setting if the file contains it, and reports a missing
// required one.
func (p *parser) readSetting(s setting, section *ini.Section) {
	present := section.HasKey(s.key)
	text := ""
	if present {
		text = section.Key(s.key).Value()
	}
	switch {
	case s.required && text == "":
		p.addSettingError(s.section, s.key, "missing", "the setting is required")
	case present:
		if reason, want := s.codec.parse(&p.settings, text); reason != "" {
			p.addSettingError(s.section, s.key, reason, want)
		}
	}
}
