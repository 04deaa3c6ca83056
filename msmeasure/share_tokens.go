package msmeasure

// tokens is one counted resource: how many its home has free, and how many
// each entry holds and uses.
type tokens struct {
	free, lost int
	held, used []int
	// short is, by entry, how many it lacked of its due at its last exchange.
	short []int
	// shed is, by entry, how many it is to give up as they come free.
	shed []int
}

func newTokens(total, entries int) *tokens {
	t := &tokens{held: make([]int, entries), used: make([]int, entries), short: make([]int, entries), shed: make([]int, entries)}
	for e := range entries {
		t.held[e] = total / entries
	}
	t.free = total - total/entries*entries
	return t
}

// exchange gives back what entry e holds idle beyond wanted, and beyond due
// where others are short of theirs. It takes what it lacks of its due, and what
// is free beyond what others lack.
func (t *tokens) exchange(e, due, wanted int) {
	t.short[e] = 0
	lacking := sum(t.short)
	idle := t.held[e] - t.used[e]
	back := min(idle, t.held[e]-wanted)
	t.shed[e] = max(0, min(t.held[e]-due, lacking-t.free))
	back = max(0, back, min(idle, t.shed[e]))
	t.shed[e] = max(0, t.shed[e]-back)
	got := min(max(0, due-t.held[e]), t.free)
	got += min(max(0, wanted-t.held[e]-got), max(0, t.free-got-lacking))
	t.held[e] += got - back
	t.free -= got - back
	t.short[e] = max(0, due-t.held[e])
}

// allowed returns how many entry e may have in use.
func (t *tokens) allowed(e int) int {
	return t.held[e] - t.shed[e]
}

func sum(ns []int) int {
	total := 0
	for _, n := range ns {
		total += n
	}
	return total
}

func (t *tokens) inUse() int {
	return sum(t.used)
}
