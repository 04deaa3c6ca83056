package msrule

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawSet draws a set that passes Check. It draws names from a short list, so that
// two sets have rules in common.
func drawSet(t *rapid.T) Set {
	var s Set
	for _, name := range drawNames(t, "data-centres") {
		region := rapid.SampledFrom([]string{"north", "r-2.x"}).Draw(t, "region")
		s.DataCentres = append(s.DataCentres, DataCentre{name, region, drawOrigin(t)})
	}
	for _, name := range drawNames(t, "pools") {
		slots := rapid.IntRange(1, MaxSlots).Draw(t, "slots")
		s.Pools = append(s.Pools, Pool{
			Name: name, Size: rapid.IntRange(0, 20).Draw(t, "size"), Slots: slots,
			Connections: slots + rapid.IntRange(0, 9).Draw(t, "more"),
			Available:   rapid.IntRange(0, 100).Draw(t, "available"), Origin: drawOrigin(t),
		})
	}
	for _, name := range drawNames(t, "teams") {
		s.Teams = append(s.Teams, Team{name, rapid.IntRange(1, 9).Draw(t, "share"), rapid.IntRange(1, 99).Draw(t, "limit"), drawOrigin(t)})
	}
	if len(s.Pools) > 0 {
		drawReferences(t, &s)
	}
	return s
}

// drawReferences adds rules that refer to the pools and teams of the set, and
// sometimes a spare pool.
func drawReferences(t *rapid.T, s *Set) {
	pool := rapid.SampledFrom(s.Pools)
	for _, name := range drawNames(t, "vms") {
		s.VMs = append(s.VMs, VM{name, pool.Draw(t, "pool").Name, drawOrigin(t)})
	}
	if len(s.Teams) == 0 {
		return
	}
	for _, name := range drawNames(t, "queues") {
		teams := rapid.Permutation(s.teamNames()).Draw(t, "teams")
		teams = teams[:rapid.IntRange(1, len(teams)).Draw(t, "count")]
		s.Queues = append(s.Queues, Queue{
			Name: name, Pool: pool.Draw(t, "pool").Name, Teams: teams,
			Open: len(teams) == 1 && rapid.Bool().Draw(t, "open"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Urgent: rapid.Bool().Draw(t, "urgent"), Origin: drawOrigin(t),
			Deadline: time.Duration(rapid.Int64Range(1, int64(MaxDeadline)).Draw(t, "deadline")),
		})
	}
	for i, name := range drawNames(t, "keys") {
		digest := Digest(name + string(rune('0'+i)))
		s.Keys = append(s.Keys, Key{name, rapid.SampledFrom(s.Teams).Draw(t, "team").Name, digest, drawOrigin(t)})
	}
	if s.Pools[0].Name != "" && rapid.Bool().Draw(t, "spare") {
		s.Pools = append(s.Pools, Pool{Name: "spare", Slots: 1, Connections: 1, Spare: true, Origin: drawOrigin(t)})
	}
}

func drawNames(t *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b-1", "C.c", "d_d", "9"}), 0, 4, rapid.ID).Draw(t, label)
}

func drawOrigin(t *rapid.T) Origin {
	return Origin{AskedBy: rapid.SampledFrom([]string{"me", "# me", "กมล  T-1\tx", "é"}).Draw(t, "asked-by")}
}

// withoutLineNumbers clears the line numbers of the set's rules and returns the
// set. It changes the rules in place.
func withoutLineNumbers(s Set) Set {
	for i := range s.DataCentres {
		s.DataCentres[i].Origin.Line = 0
	}
	for i := range s.Pools {
		s.Pools[i].Origin.Line = 0
	}
	for i := range s.VMs {
		s.VMs[i].Origin.Line = 0
	}
	for i := range s.Teams {
		s.Teams[i].Origin.Line = 0
	}
	for i := range s.Queues {
		s.Queues[i].Origin.Line = 0
	}
	for i := range s.Keys {
		s.Keys[i].Origin.Line = 0
	}
	return s
}

func TestFormatParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		require.NoError(t, Check(s))
		var text strings.Builder
		require.NoError(t, Format(&text, s))
		reparsed, err := Parse("f", strings.NewReader(text.String()))
		require.NoError(t, err)
		require.Equal(t, s, withoutLineNumbers(reparsed))
	})
}

// applyChanges is a simple reference implementation that applies the changes to
// old and returns the lines of the resulting rules.
func applyChanges(t require.TestingT, old Set, changes []Change) map[ruleID]string {
	rules := old.byName()
	texts := map[ruleID]string{}
	for _, c := range changes {
		id := ruleID{c.Kind, c.Name}
		switch c.Op {
		case Removed:
			require.Equal(t, c.Old, rules[id].definition())
			delete(rules, id)
		case Added:
			require.NotContains(t, rules, id)
			texts[id] = c.New + "  # " + c.AskedBy
		case Changed:
			applyField(t, rules, c)
		}
	}
	for id, r := range rules {
		texts[id] = r.line()
	}
	return texts
}

func applyField(t require.TestingT, rules map[ruleID]rule, c Change) {
	r := rules[ruleID{c.Kind, c.Name}]
	if c.Field == fieldAskedBy {
		require.Equal(t, r.origin.AskedBy, c.Old)
		r.origin.AskedBy = c.New
		rules[r.id()] = r
		return
	}
	for i, f := range r.fields {
		if f.name == c.Field {
			require.Equal(t, f.value, c.Old)
			r.fields[i].value = c.New
			r.fields[i].omit = c.New == "no" && f.name != "idempotent"
			return
		}
	}
	require.Fail(t, "no such field", c.Field)
}

// line returns the rule's line with its comment, independently of rule.String.
func (r rule) line() string {
	return r.definition() + "  # " + r.origin.AskedBy
}

func TestDiffTransformsOldIntoNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawSet(t), drawSet(t)
		want := map[ruleID]string{}
		for id, r := range next.byName() {
			want[id] = r.line()
		}
		changes := Diff(old, next)
		require.Equal(t, want, applyChanges(t, old, changes))
		require.Empty(t, Diff(next, next))
		require.Len(t, Diff(next, old), len(changes))
	})
}

func TestDiffText(t *testing.T) {
	old, err := Parse("f", strings.NewReader(sample))
	require.NoError(t, err)
	text := strings.NewReplacer(
		"vm vm-1 ", "vm vm-2 ",
		"deadline=1500ms # กมล", "deadline=2s # niran",
		"size=10", "size=12",
	).Replace(sample)
	next, err := Parse("f", strings.NewReader("\n"+text))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, WriteChanges(&out, Diff(old, next)))
	require.Equal(t, strings.Join([]string{
		"changed pool paint size: 10 -> 12  # somchai, T-2",
		"added vm vm-2 pool=paint  # wanida",
		"changed queue match deadline: 1.5s -> 2s  # niran",
		"changed queue match asked-by: กมล -> niran  # niran",
		"removed vm vm-1 pool=paint  # wanida",
	}, "\n")+"\n", out.String())
}
