package msscheduler

import (
	"context"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
)

// expireWithdrawals deletes the withdrawals of jobs that have not followed, until ctx is done.
// A withdrawal is kept for as long as the status of a job that has ended, from when this leader
// first saw it: the clocks of entries may be wrong.
func (e *Engine) expireWithdrawals(ctx context.Context) {
	since := map[string]time.Time{}
	for msclock.Sleep(ctx, e.Clock, expiryInterval) == nil {
		now := e.Clock.Now()
		seen := map[string]time.Time{}
		var expired []msjob.Record
		for _, key := range e.Jobs.WithdrawalKeys() {
			at, ok := since[key]
			if !ok {
				at = now
			}
			seen[key] = at
			if now.Sub(at) >= e.Settings.StatusRetention+retentionMargin {
				expired = append(expired, msjob.Record{Key: key})
			}
		}
		since = seen
		if len(expired) > 0 {
			e.mu.Lock()
			e.enqueue(nil, expired...)
			e.mu.Unlock()
		}
	}
}
