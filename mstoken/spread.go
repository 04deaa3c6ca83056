package mstoken

// Spread splits the tokens that an entry is entitled to over equivalent resources, at most
// limit of each, and writes the parts to out. The remainder goes one each to the resources
// of which the entry already holds more than the quotient, so that few tokens move, and
// then to the others, starting at index first.
func Spread(out, held []int, total, limit, first int) {
	n := len(out)
	if n == 0 {
		return
	}
	total = min(max(total, 0), limit*n)
	quotient, remainder := total/n, total%n
	for i := range out {
		out[i] = quotient
	}
	for _, aboveQuotient := range []bool{true, false} {
		for k := range out {
			i := (first + k) % n
			if remainder > 0 && out[i] == quotient && (held[i] > quotient) == aboveQuotient {
				out[i]++
				remainder--
			}
		}
	}
}
