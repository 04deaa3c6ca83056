package msrule

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxTypos is how many characters a word may be off to be taken for another.
	maxTypos = 2
	// maxListed is the most words that advice lists.
	maxListed = 10
)

// Suggest returns the advice for an unknown word: the nearest known one, or
// all of them where they are few.
func Suggest(word string, known []string) string {
	if near := nearest(word, known); near != "" {
		return "did you mean " + near + "?"
	}
	switch {
	case len(known) == 0:
		return "there is none yet"
	case len(known) > maxListed:
		return fmt.Sprintf("want one of the %d that there are", len(known))
	default:
		return "want one of " + strings.Join(known, ", ")
	}
}

// nearest returns the known word that word was probably meant to be, or the
// empty string where none is near.
func nearest(word string, known []string) string {
	best, bestDistance := "", maxTypos+1
	for _, k := range known {
		d := distance(word, k)
		if d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}

// distance returns the edits (insert, delete, replace) between two words, or
// more than maxTypos where their lengths already differ by more.
func distance(a, b string) int {
	if d := len(a) - len(b); d > maxTypos || d < -maxTypos {
		return maxTypos + 1
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

// nextRow returns the row of edit distances that follows row once c is added
// to the first word.
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
