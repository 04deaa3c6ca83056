package mssetting

import (
	"fmt"
	"net/netip"
	"time"
)

// crossCheck reports settings that conflict with each other. Settings that are
// invalid on their own are not compared.
func (p *parser) crossCheck() {
	p.checkDurations()
	p.checkAddresses()
}

func (p *parser) checkDurations() {
	s := p.settings
	p.requireAtLeast("peers", "exclude-after", s.Peers.ExcludeAfter, s.Limits.Lease, "[limits] lease: an entry must stop before it is excluded", settingID{"limits", "lease"})
	if half := s.Limits.Lease / 2; s.Peers.Heartbeat >= half {
		p.addConflict("peers", "heartbeat", s.Peers.Heartbeat, fmt.Sprintf("want less than %s, half of [limits] lease", half), settingID{"limits", "lease"})
	}
	if s.Log.Timeout >= s.Limits.Lease {
		p.addConflict("log", "timeout", s.Log.Timeout, fmt.Sprintf("want less than %s, [limits] lease", s.Limits.Lease), settingID{"limits", "lease"})
	}
	stop := s.Drain.BalancerLag + s.Limits.MaxRun
	p.requireAtLeast("drain", "grace", s.Drain.Grace, stop, "[drain] balancer-lag and [limits] max-run together", settingID{"limits", "max-run"}, settingID{"drain", "balancer-lag"})
	p.requireAtLeast("limits", "idempotency-window", s.Limits.IdempotencyWindow, s.Limits.MaxRun, "[limits] max-run", settingID{"limits", "max-run"})
}

// requireAtLeast reports a duration below low. from describes how low is derived,
// and others are the settings that it is derived from.
func (p *parser) requireAtLeast(section, key string, d, low time.Duration, from string, others ...settingID) {
	if d < low {
		p.addConflict(section, key, d, fmt.Sprintf("want at least %s, %s", low, from), others...)
	}
}

// addConflict reports a setting that conflicts with others, unless any of them is
// invalid on its own.
func (p *parser) addConflict(section, key string, d time.Duration, want string, others ...settingID) {
	for _, ref := range append(others, settingID{section, key}) {
		if p.invalid[ref] {
			return
		}
	}
	p.addSettingError(section, key, fmt.Sprintf("%s does not fit", d), want)
}

// listenAddress is a setting that holds an address the process listens on.
type listenAddress struct {
	key     string
	address string
}

// checkAddresses reports overlapping listen addresses, and advertised or remote
// addresses that can't be dialled.
func (p *parser) checkAddresses() {
	e := p.settings.Entry
	listeners := []listenAddress{{"listen", e.Listen}, {"admin-listen", e.AdminListen}, {"peer-listen", e.PeerListen}}
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if addressesOverlap(l.address, other.address) {
				p.addSettingError("entry", l.key, l.address+" is taken by "+other.key, "want another port")
			}
		}
	}
	const want = "want an IP address that others can reach"
	if isUnspecified(e.Advertise) {
		p.addSettingError("entry", "advertise", e.Advertise+" is an unspecified address", want)
	}
	if isUnspecified(p.settings.Log.Address) {
		p.addSettingError("log", "address", p.settings.Log.Address+" is an unspecified address", want)
	}
}

// addressesOverlap reports whether one host can't listen on both addresses: the
// ports are equal, and so are the IPs, or either IP is unspecified.
func addressesOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// isUnspecified reports whether the IP of the address is unspecified (0.0.0.0 or ::).
func isUnspecified(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Addr().IsUnspecified()
}
