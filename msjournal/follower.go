package msjournal

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
)

const (
	// defaultWait is how long a read waits for a record. A reader whose view may
	// be at most a few seconds old needs an answer at least this often.
	defaultWait = time.Second
	// readSlack is how much longer than its wait a read may take. A connection
	// that has gone silent is found after it.
	readSlack = 700 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed read.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// Follower keeps up with one keyed stream. Its fields are set before Run.
type Follower struct {
	Log    Log
	Clock  msclock.Clock
	Logger *zap.Logger
	Stream string
	// Apply folds a record. It is called in the order of the log, without gaps.
	Apply func(r Record, offset int64)
	// Reset is called before the newest records are read, at the start and after
	// records have expired unread.
	Reset func()
	// Loaded, if set, is called after the newest records are read.
	Loaded func()
	// Pause, if set, returns the pause between an answer and the next read.
	Pause func() time.Duration
	// Wait is how long a read waits for a record; 0 is a second.
	Wait time.Duration

	mu      sync.Mutex
	next    int64
	loaded  bool
	current time.Time
	// applied has the offset of each key of the newest load, until the records
	// read have passed them all.
	applied     map[string]int64
	lastApplied int64
	failing     bool
	// loading serves one load at a time.
	loading sync.Mutex
	// catching is the read that calls of Sync wait for.
	catching *catchUp
}

// Run follows the stream until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	pause := firstRetry
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.note(err)
		if err != nil {
			_ = msclock.Sleep(ctx, f.Clock, pause)
			pause = min(2*pause, lastRetry)
			continue
		}
		pause = firstRetry
		if f.Pause != nil {
			if d := f.Pause(); d > 0 {
				_ = msclock.Sleep(ctx, f.Clock, d)
			}
		}
	}
	return nil
}

// note logs when the stream is lost and when it is regained.
func (f *Follower) note(err error) {
	f.mu.Lock()
	was := f.failing
	f.failing = err != nil
	age := f.Clock.Now().Sub(f.current)
	f.mu.Unlock()
	if err != nil && !was {
		f.Logger.Warn("stream lost", zap.String("stream", f.Stream), zap.Duration("age", age), zap.Error(err))
	}
	if err == nil && was {
		f.Logger.Info("stream regained", zap.String("stream", f.Stream))
	}
}

func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	loaded := f.loaded
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	wait := f.Wait
	if wait == 0 {
		wait = defaultWait
	}
	return f.read(ctx, wait)
}

// read reads from the next offset and folds what comes.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	sent := f.Clock.Now()
	rctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	b, err := f.Log.Read(rctx, f.Stream, from, wait)
	if KindOf(err) == Expired && err != nil {
		f.mu.Lock()
		f.loaded = false
		f.mu.Unlock()
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range b.Records {
		off := b.From + int64(i)
		if off < f.next {
			continue
		}
		f.next = off + 1
		f.apply(r, off)
	}
	if f.next > f.lastApplied {
		f.applied = nil
	}
	f.seen(sent, b.Next >= b.End)
	return nil
}

// seen notes that the fold has all that was appended before sent.
func (f *Follower) seen(sent time.Time, whole bool) {
	if whole && sent.After(f.current) {
		f.current = sent
	}
}

// apply folds a record unless a newer one of its key is folded already, as it
// can be after a load. The caller holds mu.
func (f *Follower) apply(r Record, off int64) {
	if f.applied != nil {
		if last, ok := f.applied[r.Key]; ok && off <= last {
			return
		}
	}
	f.Apply(r, off)
}

// load reads the newest record of each key, then follows from where the stream
// ended at the first page.
func (f *Follower) load(ctx context.Context) error {
	f.loading.Lock()
	defer f.loading.Unlock()
	f.mu.Lock()
	if f.loaded {
		f.mu.Unlock()
		return nil
	}
	f.mu.Unlock()
	sent := f.Clock.Now()
	var pages []Page
	after := ""
	for {
		rctx, cancel := context.WithTimeout(ctx, defaultWait+readSlack)
		p, err := f.Log.Newest(rctx, f.Stream, after)
		cancel()
		if err != nil {
			return err
		}
		pages = append(pages, p)
		if p.More == "" {
			break
		}
		after = p.More
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Reset()
	f.applied = map[string]int64{}
	n := 0
	for _, p := range pages {
		for i, r := range p.Records {
			n++
			f.applied[r.Key] = p.Offsets[i]
			f.lastApplied = max(f.lastApplied, p.Offsets[i])
			f.Apply(r, p.Offsets[i])
		}
	}
	f.next = pages[0].End
	f.loaded = true
	f.seen(sent, true)
	if f.Loaded != nil {
		f.Loaded()
	}
	f.Logger.Info("stream loaded", zap.String("stream", f.Stream), zap.Int("keys", n), zap.Int64("version", f.next))
	return nil
}

// Current returns a time at or after which nothing was appended that isn't
// folded. It is zero before the first load.
func (f *Follower) Current() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Next returns the offset of the next record.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Sync returns once all that was appended before the call is folded. Calls at the
// same time share their reads: on a narrow link each would take from the others,
// and none would end in time.
func (f *Follower) Sync(ctx context.Context) error {
	asked := f.Clock.Now()
	for {
		f.mu.Lock()
		if f.loaded && !f.current.Before(asked) {
			f.mu.Unlock()
			return nil
		}
		c := f.catching
		own := c == nil
		if own {
			c = &catchUp{begun: f.Clock.Now(), done: make(chan struct{})}
			f.catching = c
		}
		f.mu.Unlock()
		if own {
			// Others wait for it too, so it goes on where this caller leaves.
			c.err = f.catchUpOnce(context.WithoutCancel(ctx))
			f.mu.Lock()
			f.catching = nil
			f.mu.Unlock()
			close(c.done)
		}
		select {
		case <-c.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.err != nil && !c.begun.Before(asked) {
			return c.err
		}
	}
}

// catchUp is a read that Sync calls share.
type catchUp struct {
	begun time.Time
	done  chan struct{}
	err   error
}

func (f *Follower) catchUpOnce(ctx context.Context) error {
	f.mu.Lock()
	loaded := f.loaded
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	return f.read(ctx, 0)
}
