package msintake

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"marjoramspan/mssite"
)

const (
	// maxRefusalAge is the maximum age of the site by which a request is refused. A
	// configuration has to be in force after two seconds.
	maxRefusalAge = time.Second
	// defaultMaxHold is the default of Intake.MaxHold, half of the usual rollback slack.
	defaultMaxHold = 125 * time.Millisecond
)

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
// open. Callers don't repeat a request without a queue or a valid key, so before it returns
// such an error it reads the operators' records to their end, unless the site is current. If
// that takes longer than MaxHold, the error is NotReady.
func (in *Intake) Authorize(ctx context.Context, host, path, key string) (Grant, error) {
	v := in.view()
	g, err := in.authorize(v, host, path, key)
	if err == nil || err.Kind == NotReady || in.mayRefuse(v) {
		return g, err.orNil()
	}
	if in.Operators.Failing() {
		return g, &Error{Kind: NotReady, Reason: "the configuration can't be read", RetryAfter: storeRetryAfter}
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(in.MaxHold, defaultMaxHold))
	defer cancel()
	if err := in.Sites.ReadAnnounced(ctx, in.Operators.Sync); err != nil {
		return g, &Error{Kind: NotReady, Reason: "the configuration can't be read", RetryAfter: storeRetryAfter, Err: err}
	}
	g, err = in.authorize(in.view(), host, path, key)
	return g, err.orNil()
}

// mayRefuse reports whether requests may be refused by a view.
func (in *Intake) mayRefuse(v siteView) bool {
	return in.Operators == nil || !v.behind && in.Clock.Now().Sub(v.asOf) <= maxRefusalAge
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
