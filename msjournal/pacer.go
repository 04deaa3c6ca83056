package msjournal

import (
	"context"
	"sync"
	"time"

	"marjoramspan/msclock"
)

const (
	// levelStep is by how much a refused read raises the level of a Pacer. Several streams
	// are read at a time, so the pauses are long after about a second of refusals.
	levelStep = 0.2
	// levelDecay is by how much the level falls in a second, so that an entry reads as usual 20 s
	// after the log has stopped refusing. Where the log goes on to, each entry finds out by one
	// refused read in four seconds.
	levelDecay = 0.05
)

// Pacer says how far an entry has to slow its reads down, as the log refuses reads for their
// number. The log's limit holds for all entries together and none knows how many there are, so
// each one slows down with every refused read and speeds up again slowly. A nil *Pacer slows
// nothing down. It is safe for concurrent use.
type Pacer struct {
	Clock msclock.Clock
	// Jitter returns a random number from 0 to 1. Entries whose reads were answered by the
	// same record would otherwise read again at the same time.
	Jitter func() float64

	mu sync.Mutex
	// level was that at levelAt.
	level   float64
	levelAt time.Time
}

// Watch returns l with reads whose refusals slow the pace down.
func (p *Pacer) Watch(l Log) Log {
	watched := l
	watched.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
		b, err := l.Read(ctx, stream, from, wait)
		p.observe(err)
		return b, err
	}
	watched.Newest = func(ctx context.Context, stream, after string) (Page, error) {
		page, err := l.Newest(ctx, stream, after)
		p.observe(err)
		return page, err
	}
	return watched
}

func (p *Pacer) observe(err error) {
	if !IsTooMany(err) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.level, p.levelAt = min(p.current(now)+levelStep, 1), now
}

// current returns the level. The caller holds mu.
func (p *Pacer) current(now time.Time) float64 {
	return max(p.level-levelDecay*now.Sub(p.levelAt).Seconds(), 0)
}

// Level returns by how much reads are slowed down, from 0, not at all, to 1.
func (p *Pacer) Level() float64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(p.Clock.Now())
}

// Pause returns by how much the pause between two reads is to be extended, if longest is the
// longest such extension. It varies by half.
func (p *Pacer) Pause(longest time.Duration) time.Duration {
	level := p.Level()
	if level == 0 {
		return 0
	}
	return time.Duration(level * (0.5 + 0.5*p.Jitter()) * float64(longest))
}
