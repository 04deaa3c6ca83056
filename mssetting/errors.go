package mssetting

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error describes one problem in a settings file.
type Error struct {
	File string
	// Line is the 1-based line of the key, or 0 if the file does not contain it.
	Line int
	// Section and Key identify the setting. Either may be empty.
	Section string
	Key     string
	// Reason describes the problem, and Want what is expected instead.
	Reason string
	Want   string
}

// Error returns `file:line: [section] key: reason; want`, omitting
// unknown parts.
func (e Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", location, e.Line)
	}
	var setting []string
	if e.Section != "" {
		setting = append(setting, "["+e.Section+"]")
	}
	if e.Key != "" {
		setting = append(setting, e.Key)
	}
	parts := []string{location, strings.Join(setting, " "), e.Reason + "; " + e.Want}
	parts = slices.DeleteFunc(parts, func(s string) bool { return s == "" })
	return strings.Join(parts, ": ")
}

// Errors holds all problems found in a settings file, sorted by line.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors, for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, err := range e {
		errs[i] = err
	}
	return errs
}

// errorOrNil sorts e by line and returns it as an error, or returns nil if e is
// empty.
func (e Errors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return e
}

// ReadError reports that the settings file can't be opened or read.
type ReadError struct {
	File string
	Err  error
}

// Error returns the file name and the underlying error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("settings %s: %v", e.File, e.Err)
}

// Unwrap returns the underlying I/O error.
func (e *ReadError) Unwrap() error {
	return e.Err
}
