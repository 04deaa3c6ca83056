package msjournal

import (
	"context"
	"time"
)

const (
	// answerIdle is how long nothing more of an answer may arrive before it is given up. An
	// entry reads over up to a dozen connections at a time, and their answers take turns on
	// its link.
	answerIdle = time.Second
	// maxArrival bounds how long an answer may arrive in all.
	maxArrival = 10 * time.Second
)

// withAnswerTimeout returns a context that ends with context.DeadlineExceeded as its cause if
// the answer to a call hasn't begun within timeout, or if nothing more of it arrives for
// answerIdle. An answer that is arriving isn't given up: the next call for it would begin with
// its first byte again.
func withAnswerTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelMax := context.WithTimeout(ctx, timeout+maxArrival)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	ctx = WithProgress(ctx, func(int64, int64) { timer.Reset(min(timeout, answerIdle)) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
		cancelMax()
	}
}

// progressKey is the context key of a progressFunc.
type progressKey struct{}

// progressFunc is told how many bytes of an answer have arrived and how many it has in all, or
// -1 if that isn't known.
type progressFunc func(received, total int64)

// WithProgress returns a context with which the calls of a Log report to fn, and to the
// functions that ctx has already, what has arrived of their answers. fn is called from the
// goroutine that reads the answer: first with 0 once the answer begins, and then with each
// part of it.
func WithProgress(ctx context.Context, fn func(received, total int64)) context.Context {
	outer := progressOf(ctx)
	if outer == nil {
		return context.WithValue(ctx, progressKey{}, progressFunc(fn))
	}
	return context.WithValue(ctx, progressKey{}, progressFunc(func(received, total int64) {
		fn(received, total)
		outer(received, total)
	}))
}

// ReportProgress calls the functions that WithProgress has added to ctx, if any. Implementations
// of a Log call it while they read an answer.
func ReportProgress(ctx context.Context, received, total int64) {
	if fn := progressOf(ctx); fn != nil {
		fn(received, total)
	}
}

func progressOf(ctx context.Context) progressFunc {
	fn, _ := ctx.Value(progressKey{}).(progressFunc)
	return fn
}
