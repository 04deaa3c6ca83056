package mssetting

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault of a settings file.
type Error struct {
	File string
	// Line is the line of the key, from 1, or 0 where the file doesn't give it.
	Line int
	// Section and Key name the setting. Either may be empty.
	Section string
	Key     string
	// Reason says what is wrong, and Want what would be right.
	Reason string
	Want   string
}

// Error returns `file:line: [section] key: reason; want`, without the parts
// that are not known.
func (e Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", place, e.Line)
	}
	var setting []string
	if e.Section != "" {
		setting = append(setting, "["+e.Section+"]")
	}
	if e.Key != "" {
		setting = append(setting, e.Key)
	}
	parts := []string{place, strings.Join(setting, " "), e.Reason + "; " + e.Want}
	parts = slices.DeleteFunc(parts, func(s string) bool { return s == "" })
	return strings.Join(parts, ": ")
}

// Errors are all the faults that were found, in the order of their lines.
type Errors []Error

// Error returns one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults, for errors.As.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, one := range e {
		errs[i] = one
	}
	return errs
}

// orNil returns e as an error, sorted, or nil where there is no fault.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return e
}

// ReadError says that the file can't be read at all.
type ReadError struct {
	File string
	Err  error
}

// Error returns the reason.
func (e *ReadError) Error() string {
	return fmt.Sprintf("settings %s: %v", e.File, e.Err)
}

// Unwrap returns the fault of the file system.
func (e *ReadError) Unwrap() error {
	return e.Err
}
