package msrule

import (
	"io"
	"strings"
)

// Op is the type of a Change.
type Op string

// The types of a Change.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// fieldAskedBy is the field name of a rule's comment in errors and changes.
const fieldAskedBy = "asked-by"

// Change is one difference between two sets.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Op   Op     `json:"op"`
	// Field is the name of the changed field, or empty if the whole rule was added
	// or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values of the field, or the rule's line without its
	// comment if Field is empty.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// AskedBy is the comment of the new rule, or of the old rule if it was removed.
	AskedBy string `json:"asked-by"`
}

// String returns the change as a line of text.
func (c Change) String() string {
	comment := "  # " + c.AskedBy
	switch c.Op {
	case Added:
		return "added " + c.New + comment
	case Removed:
		return "removed " + c.Old + comment
	default:
		return "changed " + c.Kind + " " + c.Name + " " + c.Field + ": " + c.Old + " -> " + c.New + comment
	}
}

// WriteChanges writes the changes, one per line.
func WriteChanges(w io.Writer, changes []Change) error {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Diff returns the changes from old to new: first the added and changed rules in
// the order of new, then the removed rules in the order of old. It ignores the
// order of rules and their line numbers.
func Diff(old, new Set) []Change {
	before, after := old.byName(), new.byName()
	var changes []Change
	for _, r := range new.rules() {
		previous, ok := before[r.id()]
		if !ok {
			changes = append(changes, Change{Kind: r.kind, Name: r.name, Op: Added, New: r.definition(), AskedBy: r.origin.AskedBy})
			continue
		}
		changes = append(changes, previous.diff(r)...)
	}
	for _, r := range old.rules() {
		if _, ok := after[r.id()]; !ok {
			changes = append(changes, Change{Kind: r.kind, Name: r.name, Op: Removed, Old: r.definition(), AskedBy: r.origin.AskedBy})
		}
	}
	return changes
}

// ruleID identifies a rule within a valid set.
type ruleID struct {
	kind string
	name string
}

func (r rule) id() ruleID {
	return ruleID{r.kind, r.name}
}

func (s Set) byName() map[ruleID]rule {
	rules := map[ruleID]rule{}
	for _, r := range s.rules() {
		rules[r.id()] = r
	}
	return rules
}

// diff returns the changes from r to newer, a rule of the same kind and name.
func (r rule) diff(newer rule) []Change {
	var changes []Change
	add := func(field, old, new string) {
		if old == new {
			return
		}
		changes = append(changes, Change{
			Kind: r.kind, Name: r.name, Op: Changed,
			Field: field, Old: old, New: new, AskedBy: newer.origin.AskedBy,
		})
	}
	for i, f := range newer.fields {
		add(f.name, r.fields[i].value, f.value)
	}
	add(fieldAskedBy, r.origin.AskedBy, newer.origin.AskedBy)
	return changes
}
