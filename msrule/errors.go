package msrule

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault of a rules file or of a Set.
type Error struct {
	// File is the rules file, or empty where the rules come from records.
	File string
	// Line and Column are the place in the file, from 1; columns count
	// characters. They are 0 where the place is not known.
	Line   int
	Column int
	// Rule is the kind and name of the rule, or empty where it has none.
	Rule string
	// Field is the part of the rule that is wrong.
	Field string
	// Reason says what is wrong, and Want what would be right.
	Reason string
	Want   string
}

// Error returns `file:line:column: field: reason; want`. Without a file the
// name of the rule takes the place of the position.
func (e Error) Error() string {
	place := e.Rule
	if e.File != "" {
		place = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if place == "" {
		place = "rules"
	}
	return fmt.Sprintf("%s: %s: %s; %s", place, e.Field, e.Reason, e.Want)
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
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return e
}
