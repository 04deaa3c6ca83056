package mstoken

// maxMinFair splits total over wants by max-min fairness into out: no element gets more
// than it wants, and none could get more without taking from one that gets less. The
// remainder is distributed one token each, starting at index first.
func maxMinFair(out, wants []int, total, first int) {
	clear(out)
	for total > 0 {
		unsatisfied, minGap := 0, 0
		for i, w := range wants {
			gap := w - out[i]
			if gap <= 0 {
				continue
			}
			if unsatisfied == 0 || gap < minGap {
				minGap = gap
			}
			unsatisfied++
		}
		if unsatisfied == 0 {
			return
		}
		step := min(minGap, total/unsatisfied)
		if step == 0 {
			distributeRemainder(out, wants, total, first)
			return
		}
		for i, w := range wants {
			if w > out[i] {
				out[i] += step
				total -= step
			}
		}
	}
}

// distributeRemainder gives one token each to unsatisfied wants, starting at index first,
// until total is used up.
func distributeRemainder(out, wants []int, total, first int) {
	for k := range wants {
		i := (first + k) % len(wants)
		if total > 0 && out[i] < wants[i] {
			out[i]++
			total--
		}
	}
}
