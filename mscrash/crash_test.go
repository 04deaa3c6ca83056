package mscrash

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSharedFailure(t *testing.T) {
	t.Parallel()
	lost, born := time.Unix(1000, 0), time.Unix(500_000, 0)
	at := func(worker string, after time.Duration, jobs ...string) End {
		return End{Worker: worker, LostAt: lost.Add(after), Jobs: jobs, Recent: len(jobs) > 0}
	}
	young := func(e End) End { e.Recent, e.Older = false, true; return e }
	for name, c := range map[string]struct {
		end    End
		others []End
		want   bool
	}{
		"alone":                                     {at("w-2", 0, "a"), nil, false},
		"the same worker":                           {at("w-2", 0, "a"), []End{at("w-2", 0)}, false},
		"beside an idle worker":                     {at("w-2", 0, "a"), []End{at("w-6", 0)}, true},
		"an idle worker, earlier":                   {at("w-2", 0, "a"), []End{at("w-6", -callSpan)}, false},
		"an idle worker, later":                     {at("w-2", 0, "a"), []End{at("w-6", callSpan)}, false},
		"a worker with a young task":                {at("w-2", 0, "a"), []End{young(at("w-6", 0, "b"))}, true},
		"a worker with a young task of the job":     {young(at("w-2", 0, "a")), []End{young(at("w-6", 0, "a"))}, false},
		"young tasks of several jobs":               {young(at("w-2", 0, "a")), []End{young(at("w-6", 0, "b"))}, false},
		"a young task, beside a task of another":    {young(at("w-2", 0, "a")), []End{at("w-6", 0, "b")}, false},
		"a task that may have run for longer":       {End{Worker: "w-2", LostAt: lost, Jobs: []string{"a"}, Recent: true, Older: true}, []End{young(at("w-6", 0, "b"))}, false},
		"a young task, beside an idle worker":       {young(at("w-2", 0, "a")), []End{at("w-6", 0)}, true},
		"all tasks of a step":                       {at("w-2", 0, "a"), []End{at("w-1", 0, "a"), at("w-3", 0, "a"), at("w-6", 0, "a")}, false},
		"tasks of several jobs":                     {at("w-2", 0, "a"), []End{at("w-1", 0, "b"), at("w-3", 0, "c"), at("w-6", 0, "b", "d")}, false},
		"all tasks of a step, and an idle worker":   {at("w-2", 0, "a"), []End{at("w-1", 0, "a"), at("w-3", 0, "a"), at("w-6", 0)}, true},
		"an end that only a list of VMs has shown":  {at("w-2", 0, "a"), []End{{Worker: "w-6", ListedAt: lost.Add(350 * time.Millisecond)}}, true},
		"ends that only a list of VMs has shown":    {End{Worker: "w-2", ListedAt: lost, Jobs: []string{"a"}, Recent: true}, []End{{Worker: "w-6", ListedAt: lost}}, true},
		"next lives that began together":            {End{Worker: "w-2", NextBornAt: born, Jobs: []string{"a"}, Recent: true}, []End{{Worker: "w-6", LostAt: lost, NextBornAt: born}}, true},
		"next lives that began one after the other": {End{Worker: "w-2", NextBornAt: born, Jobs: []string{"a"}, Recent: true}, []End{{Worker: "w-6", LostAt: lost, NextBornAt: born.Add(callSpan)}}, false},
		"lost one after the other":                  {at("w-2", 0, "a"), []End{{Worker: "w-6", LostAt: lost.Add(callSpan), ListedAt: lost.Add(callSpan)}}, false},
		"ends that lists have shown in turn":        {End{Worker: "w-2", ListedAt: lost, Jobs: []string{"a"}, Recent: true}, []End{{Worker: "w-6", ListedAt: lost.Add(Span)}}, false},
		"calls timed out in turn, one list":         {End{Worker: "w-2", LostAt: lost, ListedAt: lost, Jobs: []string{"a"}, Recent: true}, []End{{Worker: "w-6", LostAt: lost.Add(2 * Span), ListedAt: lost}}, true},
		"ends of unknown times":                     {End{Worker: "w-2", Jobs: []string{"a"}, Recent: true}, []End{{Worker: "w-6"}}, false},
	} {
		require.Equal(t, c.want, SharedFailure(c.end, slices.Values(c.others)), name)
	}
}
