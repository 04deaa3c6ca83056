package mslog

import (
	"context"
	"time"

	"marjoramspan/msclock"
)

const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// backoff spaces out tries: each wait is up to twice as long as the one before.
type backoff struct {
	clock  msclock.Clock
	jitter func() float64
	tries  int
}

// wait sleeps before the next try and returns ctx's error if it ends before.
func (b *backoff) wait(ctx context.Context) error {
	d := backoffBase << min(b.tries, 10)
	d = min(d, backoffMax)
	b.tries++
	if b.jitter != nil {
		d = d/2 + time.Duration(b.jitter()*float64(d/2))
	}
	return msclock.Sleep(ctx, b.clock, d)
}

func (b *backoff) reset() {
	b.tries = 0
}

func clockOr(c msclock.Clock, client *Client) msclock.Clock {
	if c != nil {
		return c
	}
	return client.clock()
}
