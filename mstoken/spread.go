package mstoken

// Spread splits what an entry is due over resources that are as good as each other, at
// most so many of each, and sets out to the parts. What does not divide goes one each to
// those of which the entry holds more than the even part, so that tokens stay where they
// are, and then to the others from index first on.
func Spread(out, held []int, due, most, first int) {
	n := len(out)
	if n == 0 {
		return
	}
	due = min(max(due, 0), most*n)
	even, rest := due/n, due%n
	for i := range out {
		out[i] = even
	}
	for _, kept := range []bool{true, false} {
		for k := range out {
			i := (first + k) % n
			if rest > 0 && out[i] == even && (held[i] > even) == kept {
				out[i]++
				rest--
			}
		}
	}
}
