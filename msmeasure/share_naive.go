package msmeasure

import "time"

// fifo is the naive scheduler: the first to come is the first to start, and
// the entry holds on to whatever slots its callers ask for.
type fifo struct {
	line  []int // requests in order of arrival
	reqs  []request
	teams []string
	inUse int
	asked []int // by team, waiting and running
}

func (f *fifo) add(i int, _ time.Time) bool {
	f.line = append(f.line, i)
	f.asked[f.reqs[i].team]++
	return true
}

func (f *fifo) next(_ time.Time, may func(string) bool) (int, bool) {
	var barred uint64
	for k, i := range f.line {
		team := f.reqs[i].team
		if barred&(1<<team) != 0 {
			continue
		}
		if !may(f.teams[team]) {
			barred |= 1 << team
			if barred == 1<<len(f.teams)-1 {
				break
			}
			continue
		}
		copy(f.line[1:k+1], f.line[:k])
		f.line = f.line[1:]
		return i, true
	}
	return 0, false
}

func (f *fifo) started(int, time.Time) { f.inUse++ }

func (f *fifo) waiting() int { return len(f.line) }

func (f *fifo) expired(now time.Time) []int {
	var out []int
	kept := f.line[:0]
	for _, i := range f.line {
		if now.After(at(f.reqs[i].deadline)) {
			out = append(out, i)
			f.asked[f.reqs[i].team]--
			continue
		}
		kept = append(kept, i)
	}
	f.line = kept
	return out
}

func (f *fifo) ended(i int, _ time.Duration, _ time.Time) {
	f.inUse--
	f.asked[f.reqs[i].team]--
}

func (f *fifo) slots(time.Time) (due, wanted int) {
	n := f.inUse + len(f.line)
	return n, n
}

func (f *fifo) tokens(team int, _ time.Time) (due, wanted int) {
	return f.asked[team], f.asked[team]
}
