package mslog

import (
	"context"
	"time"

	"marjoramspan/msclock"
)

// withTimeout returns a copy of ctx that is cancelled with ErrTimeout once
// limit has passed on clock.
func withTimeout(ctx context.Context, clock msclock.Clock, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	expired := clock.After(limit)
	go func() {
		select {
		case <-expired:
			cancel(ErrTimeout)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
