package msrule

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxEdits is the maximum edit distance of a suggestion.
	maxEdits = 2
	// maxListed is the maximum number of known words that Suggest lists.
	maxListed = 10
)

// Suggest returns a hint for an unknown word: the nearest known word, or, if none
// is near, a list of the known words or their number if they are too many.
func Suggest(word string, known []string) string {
	if near := nearest(word, known); near != "" {
		return "did you mean " + near + "?"
	}
	switch {
	case len(known) == 0:
		return "there is none yet"
	case len(known) > maxListed:
		return fmt.Sprintf("want one of the %d that exist", len(known))
	default:
		return "want one of " + strings.Join(known, ", ")
	}
}

// nearest returns the known word with the smallest edit distance to word, or the
// empty string if none is within maxEdits. A known word that would have to be
// replaced entirely doesn't count.
func nearest(word string, known []string) string {
	best, bestDistance := "", maxEdits+1
	for _, k := range known {
		d := editDistance(word, k)
		if d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes between two words, or
// maxEdits+1 if their lengths differ by more than maxEdits.
func editDistance(a, b string) int {
	if d := len(a) - len(b); d > maxEdits || d < -maxEdits {
		return maxEdits + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		row = nextRow(row, a[i], b)
	}
	return row[len(b)]
}

// nextRow returns the next row of the edit distance matrix, after appending c to
// the first word.
func nextRow(row []int, c byte, b string) []int {
	next := make([]int, len(row))
	next[0] = row[0] + 1
	for j := range len(b) {
		replace := row[j]
		if b[j] != c {
			replace++
		}
		next[j+1] = slices.Min([]int{replace, row[j+1] + 1, next[j] + 1})
	}
	return next
}
