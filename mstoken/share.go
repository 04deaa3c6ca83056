package mstoken

// share splits total over the wants by max-min fairness into out: nobody gets more
// than it wants, and nobody could get more but from one that gets less. What does not
// divide goes one each to those from index first on.
func share(out, wants []int, total, first int) {
	clear(out)
	for total > 0 {
		open, least := 0, 0
		for i, w := range wants {
			rest := w - out[i]
			if rest <= 0 {
				continue
			}
			if open == 0 || rest < least {
				least = rest
			}
			open++
		}
		if open == 0 {
			return
		}
		step := min(least, total/open)
		if step == 0 {
			shareRest(out, wants, total, first)
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

// shareRest gives one token each to the first unsatisfied wants from index first on.
func shareRest(out, wants []int, total, first int) {
	for k := range wants {
		i := (first + k) % len(wants)
		if total > 0 && out[i] < wants[i] {
			out[i]++
			total--
		}
	}
}
