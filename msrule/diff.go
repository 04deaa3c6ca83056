package msrule

import (
	"io"
	"strings"
)

// Op is what happened to a rule between two sets.
type Op string

// The operations of a Change.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// fieldAskedBy is the comment of a rule, as a field of errors and changes.
const fieldAskedBy = "asked-by"

// Change is one difference between two sets.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Op   Op     `json:"op"`
	// Field is the field that changed, and empty where the whole rule was
	// added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values of the field, or the rule without its comment.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// AskedBy is the comment of the new rule, or of the old one where it was
	// removed.
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

// WriteChanges writes one change a line.
func WriteChanges(w io.Writer, changes []Change) error {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Diff returns the changes from old to new: first what was added or changed,
// in the order of new, then what was removed, in the order of old. The order
// of rules and their line numbers don't count.
func Diff(old, new Set) []Change {
	before, after := old.byName(), new.byName()
	var changes []Change
	for _, r := range new.rules() {
		was, ok := before[r.id()]
		if !ok {
			changes = append(changes, Change{Kind: r.kind, Name: r.name, Op: Added, New: r.words(), AskedBy: r.origin.AskedBy})
			continue
		}
		changes = append(changes, was.diff(r)...)
	}
	for _, r := range old.rules() {
		if _, ok := after[r.id()]; !ok {
			changes = append(changes, Change{Kind: r.kind, Name: r.name, Op: Removed, Old: r.words(), AskedBy: r.origin.AskedBy})
		}
	}
	return changes
}

// ruleID names a rule within a set.
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

// diff returns the changed fields from r to the later rule of the same name.
func (r rule) diff(later rule) []Change {
	var changes []Change
	add := func(field, old, new string) {
		if old == new {
			return
		}
		changes = append(changes, Change{
			Kind: r.kind, Name: r.name, Op: Changed,
			Field: field, Old: old, New: new, AskedBy: later.origin.AskedBy,
		})
	}
	for i, f := range later.fields {
		add(f.name, r.fields[i].value, f.value)
	}
	add(fieldAskedBy, r.origin.AskedBy, later.origin.AskedBy)
	return changes
}
