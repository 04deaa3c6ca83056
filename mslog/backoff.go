package mslog

import (
	"context"
	"time"

	"marjoramspan/msclock"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// backoff implements exponential backoff: the upper bound of the delay doubles
// with each attempt, up to maxBackoff. With jitter, the delay is between half
// the bound and the bound.
type backoff struct {
	clock    msclock.Clock
	jitter   func() float64
	attempts int
}

// wait sleeps before the next attempt. It returns ctx's error if ctx ends
// first.
func (b *backoff) wait(ctx context.Context) error {
	d := initialBackoff << min(b.attempts, 10)
	d = min(d, maxBackoff)
	b.attempts++
	if b.jitter != nil {
		d = d/2 + time.Duration(b.jitter()*float64(d/2))
	}
	return msclock.Sleep(ctx, b.clock, d)
}

func (b *backoff) reset() {
	b.attempts = 0
}

func clockOrDefault(c msclock.Clock, client *Client) msclock.Clock {
	if c != nil {
		return c
	}
	return client.clock()
}
