package msrule

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one error in a rules file or a Set.
type Error struct {
	// File is the name of the rules file, or empty if the rules come from log
	// records.
	File string
	// Line and Column are the position in the file, from 1; columns count
	// characters. They are 0 if the position is unknown.
	Line   int
	Column int
	// Rule is the kind and name of the rule, or empty if the error isn't tied to
	// a rule.
	Rule string
	// Field is the invalid part of the rule.
	Field string
	// Reason describes the error, and Want what is valid instead.
	Reason string
	Want   string
}

// Error returns `file:line:column: field: reason; want`. If File is empty, the
// kind and name of the rule replace the position.
func (e Error) Error() string {
	position := e.Rule
	if e.File != "" {
		position = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if position == "" {
		position = "rules"
	}
	return fmt.Sprintf("%s: %s: %s; %s", position, e.Field, e.Reason, e.Want)
}

// Errors holds every error found, in order of line and column.
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

// errorOrNil sorts e and returns it as an error, or returns nil if e is empty.
func (e Errors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return e
}
