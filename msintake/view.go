package msintake

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"time"

	"marjoramspan/mssite"
)

const (
	// defaultRollbackSlack is the default of Intake.RollbackSlack, defaultSiteLimit that of
	// Intake.SiteLimit.
	defaultRollbackSlack = 250 * time.Millisecond
	defaultSiteLimit     = 2 * time.Second
)

// maxHold is how long a request may wait until the operators' records are read. Those that
// arrive meanwhile are handled by the older site.
func (in *Intake) maxHold() time.Duration {
	return cmp.Or(in.RollbackSlack, defaultRollbackSlack) / 2
}

// maxRefusalAge is the maximum age of the site by which a request is refused. Together with
// maxHold it leaves a quarter of the slack for the ways of two requests to differ.
func (in *Intake) maxRefusalAge() time.Duration {
	return cmp.Or(in.RollbackSlack, defaultRollbackSlack) / 4
}

// siteView is a site and what was known of it at one moment. A request is decided by one view.
type siteView struct {
	site *mssite.Site
	// asOf is a time at which the site was the newest one.
	asOf time.Time
	// behind is set if a newer site is known to exist.
	behind bool
}

// view returns the current view.
func (in *Intake) view() siteView {
	// The age comes first: a site that comes into force in between is then dated too early, and
	// never too late.
	v := siteView{asOf: in.SiteCurrent()}
	v.site, v.behind = in.Sites.Newest()
	return v
}

// Authorize returns the queue for a host and path, and checks the key unless the queue is
// open. Callers don't repeat a request without a queue or a valid key, and an earlier one may
// have been allowed by a newer site, so such an error needs a view that is at most
// maxRefusalAge old when the request arrives. Otherwise the operators' records are read first,
// as they are before a request is allowed by a site that may have been replaced for too long. If
// that takes longer than maxHold, the error is NotReady.
func (in *Intake) Authorize(ctx context.Context, host, path, key string) (Grant, error) {
	arrived := in.Clock.Now()
	v := in.view()
	g, err := in.authorize(v, host, path, key)
	switch {
	case err != nil && err.Kind == NotReady:
		return g, err
	case err == nil && !in.maybeReplaced(v), err != nil && in.mayRefuse(v, arrived):
		return g, in.afterStall(v, arrived, err).orNil()
	case err != nil && in.Operators.Failing():
		return g, in.unconfirmed(nil)
	}
	if err := in.confirm(ctx, v, arrived); err != nil {
		return g, err
	}
	// A process that stood still finds its timer and its read at their ends together.
	if held := in.Clock.Now().Sub(arrived); held > in.maxHold() {
		return g, &Error{Kind: NotReady, Reason: "the request was held for " + held.String(), RetryAfter: storeRetryAfter}
	}
	v = in.view()
	g, err = in.authorize(v, host, path, key)
	return g, in.afterStall(v, arrived, err).orNil()
}

// afterStall returns err, the decision of a request by a view, or NotReady just after the process
// has stood still: requests that have waited unseen meanwhile arrive in any order, so all are
// decided by the version that the first one was decided by.
func (in *Intake) afterStall(v siteView, arrived time.Time, err *Error) *Error {
	if in.LastStall == nil || v.site == nil || err != nil && err.Kind == NotReady {
		return err
	}
	_, ended := in.LastStall()
	if ended.IsZero() || arrived.Sub(ended) > in.maxHold() || in.stall.decides(ended, v.site.Version) {
		return err
	}
	return &Error{Kind: NotReady, Reason: "another version came into force after the process stood still", RetryAfter: storeRetryAfter}
}

// mayRefuse reports whether a request that arrived at a time may be refused by a view.
func (in *Intake) mayRefuse(v siteView, arrived time.Time) bool {
	return in.Operators == nil || !v.behind && arrived.Sub(v.asOf) <= in.maxRefusalAge()
}

// maybeReplaced reports whether a view must not allow a request: the log has begun to answer a
// read of the operators' records that was sent so much later that another site may have been in
// force for longer than a change may take, and the answer hasn't arrived. While the log
// doesn't answer at all, operators can't store a site either, and requests are decided by the
// last one.
func (in *Intake) maybeReplaced(v siteView) bool {
	return in.Operators != nil && in.Operators.ReachedAt().Sub(v.asOf) > cmp.Or(in.SiteLimit, defaultSiteLimit)
}

// confirm reads the operators' records until the site is as new as the refusal of a request
// that arrived at a time needs. Requests share these reads: one begins maxRefusalAge after
// another at the earliest, and later after a failed one and while the log refuses reads for
// their number, whatever callers send.
func (in *Intake) confirm(ctx context.Context, v siteView, arrived time.Time) *Error {
	if !in.reads.allowed(arrived, in.maxRefusalAge()) {
		return in.unconfirmed(nil)
	}
	holdCtx, cancel := context.WithTimeout(ctx, in.maxHold())
	defer cancel()
	var err error
	if v.behind {
		// What has shown that there is a newer version may be more recent than the last read.
		err = in.Sites.ReadAnnounced(holdCtx, in.Operators.Sync)
	} else {
		err = in.Operators.SyncSince(holdCtx, arrived.Add(-in.maxRefusalAge()))
	}
	if err != nil && ctx.Err() == nil {
		var pause time.Duration
		if in.ReadPause != nil {
			pause = in.ReadPause()
		}
		in.reads.failed(in.Clock.Now(), pause)
	}
	if err != nil {
		return in.unconfirmed(err)
	}
	return nil
}

// unconfirmed returns the error of a request that needs a newer view than there is.
func (in *Intake) unconfirmed(err error) *Error {
	return &Error{Kind: NotReady, Reason: "the configuration can't be read", RetryAfter: storeRetryAfter, Err: err}
}

// authorize decides a request by a view.
func (in *Intake) authorize(v siteView, host, path, key string) (Grant, *Error) {
	site := v.site
	if site == nil {
		return Grant{}, &Error{Kind: NotReady, Reason: "no site has been read", RetryAfter: storeRetryAfter}
	}
	q, rest := site.MatchQueue(host, path)
	age := in.Clock.Now().Sub(v.asOf)
	if q == nil {
		return Grant{}, &Error{Kind: NoQueue, Reason: "no queue at this host and path in " + describe(site, age)}
	}
	g := Grant{Queue: *q, Subpath: rest, Version: site.Version, Team: site.Keys[key]}
	if q.Public {
		return g, nil
	}
	if in.SiteLease > 0 && age > in.SiteLease {
		return g, &Error{Kind: NotReady, Reason: "keys were last confirmed " + age.Round(time.Millisecond).String() + " ago", RetryAfter: storeRetryAfter}
	}
	if key == "" || g.Team == "" {
		return g, &Error{Kind: BadKey, Reason: "the key is not in " + describe(site, age)}
	}
	return g, nil
}

// describe names the version of a site that was last confirmed to be the newest age ago.
func describe(site *mssite.Site, age time.Duration) string {
	return "version " + strconv.FormatInt(site.Version, 10) + ", confirmed " + age.Round(time.Millisecond).String() + " ago"
}

// confirmingReads delays reads for refusals after one that failed. The zero value is ready for
// use. It is safe for concurrent use.
type confirmingReads struct {
	mu       sync.Mutex
	failedAt time.Time
	pause    time.Duration
}

// allowed reports whether a read may begin, if reads are at least interval apart.
func (c *confirmingReads) allowed(now time.Time, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt) >= interval+c.pause
}

// failed notes a read that failed. The next one begins pause later than it otherwise would.
func (c *confirmingReads) failed(now time.Time, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt, c.pause = now, pause
}

// stallVersion is the version by which requests are decided after a stall. The zero value is
// ready for use. It is safe for concurrent use.
type stallVersion struct {
	mu      sync.Mutex
	ended   time.Time
	version int64
}

// decides reports whether a version decides requests after the stall that ended at a time.
func (s *stallVersion) decides(ended time.Time, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ended.Equal(s.ended) {
		s.ended, s.version = ended, version
	}
	return version == s.version
}
