package mslog

import (
	"context"
	"time"

	"marjoramspan/msclock"
)

// withTimeout returns a copy of ctx that is canceled with cause ErrTimeout
// once timeout has elapsed on clock.
func withTimeout(ctx context.Context, clock msclock.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	expired := clock.After(timeout)
	go func() {
		select {
		case <-expired:
			cancel(ErrTimeout)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
