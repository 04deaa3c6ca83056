package mssetting

import (
	"fmt"
	"net/netip"
	"time"
)

// crossCheck reports settings that don't fit one another. Those that are wrong
// by themselves aren't compared.
func (p *parser) crossCheck() {
	p.checkDurations()
	p.checkAddresses()
}

func (p *parser) checkDurations() {
	s := p.settings
	p.atLeast("peers", "exclude-after", s.Peers.ExcludeAfter, s.Limits.Lease, "[limits] lease: an entry must stop before it is excluded", setRef{"limits", "lease"})
	if half := s.Limits.Lease / 2; s.Peers.Heartbeat >= half {
		p.unfit("peers", "heartbeat", s.Peers.Heartbeat, fmt.Sprintf("want less than %s, half of [limits] lease", half), setRef{"limits", "lease"})
	}
	if s.Log.Timeout >= s.Limits.Lease {
		p.unfit("log", "timeout", s.Log.Timeout, fmt.Sprintf("want less than %s, [limits] lease", s.Limits.Lease), setRef{"limits", "lease"})
	}
	stop := s.Drain.BalancerLag + s.Limits.MaxRun
	p.atLeast("drain", "grace", s.Drain.Grace, stop, "[drain] balancer-lag and [limits] max-run together", setRef{"limits", "max-run"}, setRef{"drain", "balancer-lag"})
	p.atLeast("limits", "idempotency-window", s.Limits.IdempotencyWindow, s.Limits.MaxRun, "[limits] max-run", setRef{"limits", "max-run"})
}

// atLeast reports a duration below low, which comes from the settings named.
func (p *parser) atLeast(section, key string, d, low time.Duration, from string, others ...setRef) {
	if d < low {
		p.unfit(section, key, d, fmt.Sprintf("want at least %s, %s", low, from), others...)
	}
}

// unfit reports a setting that doesn't fit others, unless one of them is wrong
// by itself.
func (p *parser) unfit(section, key string, d time.Duration, want string, others ...setRef) {
	for _, ref := range append(others, setRef{section, key}) {
		if p.faulty[ref] {
			return
		}
	}
	p.fault(section, key, fmt.Sprintf("%s does not fit", d), want)
}

// listener is a setting with an address that the process listens on.
type listener struct {
	key  string
	text string
}

// checkAddresses reports listeners in each other's way, and addresses that
// can't be dialled.
func (p *parser) checkAddresses() {
	e := p.settings.Entry
	listeners := []listener{{"listen", e.Listen}, {"admin-listen", e.AdminListen}, {"peer-listen", e.PeerListen}}
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if clash(l.text, other.text) {
				p.fault("entry", l.key, l.text+" is taken by "+other.key, "want another port")
			}
		}
	}
	const want = "want the IP number that others reach"
	if isUnspecified(e.Advertise) {
		p.fault("entry", "advertise", e.Advertise+" stands for all addresses", want)
	}
	if isUnspecified(p.settings.Log.Address) {
		p.fault("log", "address", p.settings.Log.Address+" stands for all addresses", want)
	}
}

// clash reports whether one machine can't listen on both addresses.
func clash(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// isUnspecified reports whether the address stands for all of a machine's.
func isUnspecified(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Addr().IsUnspecified()
}
