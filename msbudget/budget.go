// Package msbudget divides a number of bytes among requests that are not complete yet.
//
// A server that reads whole bodies holds what slow clients have sent so far. Each request claims
// its bytes before it reads them and releases them once they are decoded. When the bytes are
// used up, the claim that was made first loses its own: a client that sends its request at once
// is done with it long before it is the oldest.
package msbudget

import (
	"math"
	"sync"
)

const (
	// largestShare is the share of the limit that one claim counts as at most, so that the
	// largest request finds room beside ordinary ones.
	largestShare = 0.75
	// smallShare is the largest share of the limit that a small claim has, and reserveShare the
	// share beyond the limit that is for small claims. So a few large requests that are decoded
	// don't keep ordinary ones out.
	smallShare   = 1.0 / 256
	reserveShare = 0.25
)

// Budget is a number of bytes. The zero value sets no bound.
type Budget struct {
	// Limit, if set, returns the number of bytes. It may change.
	Limit func() int64

	mu   sync.Mutex
	used int64
	// claims has those that hold bytes, oldest first.
	claims []*Claim
}

// Claim is the part of a Budget that one request holds.
type Claim struct {
	budget *Budget
	revoke func()
	bytes  int64
	// sealed is set once the request is complete, so that it ends by itself.
	sealed, revoked bool
	// listed is whether claims of the Budget has it.
	listed bool
}

// Claim returns a claim of no bytes. revoke is called at most once, when the claim loses its
// bytes to another one; it must not block nor call the Budget.
func (b *Budget) Claim(revoke func()) *Claim {
	return &Claim{budget: b, revoke: revoke}
}

// Used returns the number of bytes that are held, and by how many claims.
func (b *Budget) Used() (bytes int64, claims int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.claims)
}

// Grow adds n bytes to the claim and reports whether it holds them. Older claims that are not
// sealed lose theirs, oldest first, if the bytes don't suffice. A claim of more than largestShare
// counts as that.
func (c *Claim) Grow(n int64) bool {
	b := c.budget
	limit := int64(math.MaxInt64)
	if b.Limit != nil {
		limit = b.Limit()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.revoked {
		return false
	}
	n = max(0, min(n, int64(float64(limit)*largestShare)-c.bytes))
	if b.Limit != nil && float64(c.bytes+n) <= float64(limit)*smallShare {
		limit += int64(float64(limit) * reserveShare)
	}
	if !b.makeRoom(c, n, limit) {
		return false
	}
	if !c.listed {
		c.listed = true
		b.claims = append(b.claims, c)
	}
	c.bytes += n
	b.used += n
	return true
}

// makeRoom revokes claims until n more bytes fit, and reports whether they do. It revokes none
// if that wouldn't suffice. The caller holds mu.
func (b *Budget) makeRoom(c *Claim, n, limit int64) bool {
	left, count := b.used+n, 0
	for _, o := range b.claims {
		if left <= limit {
			break
		}
		count++
		if o != c && !o.sealed {
			left -= o.bytes
		}
	}
	if left > limit {
		return false
	}
	var victims []*Claim
	for _, o := range b.claims[:count] {
		if o != c && !o.sealed {
			victims = append(victims, o)
		}
	}
	for _, v := range victims {
		v.revoked = true
		b.remove(v)
		v.revoke()
	}
	return true
}

// Seal says that the request is complete, and reports whether the claim still holds its bytes. A
// sealed claim keeps them until it is released.
func (c *Claim) Seal() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.sealed = !c.revoked
	return c.sealed
}

// Revoked reports whether the claim has lost its bytes to another one.
func (c *Claim) Revoked() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.revoked
}

// Release gives the bytes back. Further calls have no effect.
func (c *Claim) Release() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.remove(c)
}

// remove takes the claim's bytes away. The caller holds mu.
func (b *Budget) remove(c *Claim) {
	for i, o := range b.claims {
		if o == c {
			b.claims, c.listed = append(b.claims[:i], b.claims[i+1:]...), false
			break
		}
	}
	b.used -= c.bytes
	c.bytes = 0
}
