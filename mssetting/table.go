package mssetting

import "time"

// setting defines one key of the file.
type setting struct {
	section  string
	key      string
	required bool
	codec    codec
}

// codec parses and formats one field of Settings.
type codec struct {
	// parse stores the parsed text in the field, or returns the reason why it is
	// invalid and what is expected instead.
	parse func(s *Settings, text string) (reason, want string)
	// format returns the field as text that parse accepts.
	format func(s *Settings) string
}

// settingsTable defines every key that a file may contain, in the order in which
// Format writes them.
var settingsTable = []setting{
	{"entry", "name", true, name(func(s *Settings) *string { return &s.Entry.Name })},
	{"entry", "data-centre", true, name(func(s *Settings) *string { return &s.Entry.DataCentre })},
	{"entry", "rack", true, name(func(s *Settings) *string { return &s.Entry.Rack })},
	{"entry", "region", false, name(func(s *Settings) *string { return &s.Entry.Region })},
	{"entry", "listen", true, address(func(s *Settings) *string { return &s.Entry.Listen })},
	{"entry", "admin-listen", true, address(func(s *Settings) *string { return &s.Entry.AdminListen })},
	{"entry", "peer-listen", true, address(func(s *Settings) *string { return &s.Entry.PeerListen })},
	{"entry", "advertise", false, address(func(s *Settings) *string { return &s.Entry.Advertise })},
	{"log", "address", true, address(func(s *Settings) *string { return &s.Log.Address })},
	{"log", "timeout", false, duration(func(s *Settings) *time.Duration { return &s.Log.Timeout })},
	{"log", "stream-prefix", false, name(func(s *Settings) *string { return &s.Log.StreamPrefix })},
	{"limits", "lease", false, duration(func(s *Settings) *time.Duration { return &s.Limits.Lease })},
	{"limits", "max-run", false, duration(func(s *Settings) *time.Duration { return &s.Limits.MaxRun })},
	{"limits", "max-body", false, size(func(s *Settings) *int64 { return &s.Limits.MaxBody })},
	{"limits", "max-connections", false, count(func(s *Settings) *int { return &s.Limits.MaxConnections })},
	{"limits", "max-waiting", false, count(func(s *Settings) *int { return &s.Limits.MaxWaiting })},
	{"limits", "idempotency-window", false, duration(func(s *Settings) *time.Duration { return &s.Limits.IdempotencyWindow })},
	{"limits", "connections-per-upstream", false, count(func(s *Settings) *int { return &s.Limits.ConnectionsPerUpstream })},
	{"peers", "heartbeat", false, duration(func(s *Settings) *time.Duration { return &s.Peers.Heartbeat })},
	{"peers", "exclude-after", false, duration(func(s *Settings) *time.Duration { return &s.Peers.ExcludeAfter })},
	{"drain", "balancer-lag", false, duration(func(s *Settings) *time.Duration { return &s.Drain.BalancerLag })},
	{"drain", "grace", false, duration(func(s *Settings) *time.Duration { return &s.Drain.Grace })},
	{"account", "flush", false, duration(func(s *Settings) *time.Duration { return &s.Account.Flush })},
	{"log-output", "level", false, level(func(s *Settings) *string { return &s.LogOutput.Level })},
}

// sectionAudit is accepted but has no keys yet.
const sectionAudit = "audit"

// sections returns the names of all sections in the order of settingsTable, then
// sectionAudit.
func sections() []string {
	var names []string
	for _, s := range settingsTable {
		if len(names) == 0 || names[len(names)-1] != s.section {
			names = append(names, s.section)
		}
	}
	return append(names, sectionAudit)
}

// keys returns the keys of a section in the order of settingsTable.
func keys(section string) []string {
	var names []string
	for _, s := range settingsTable {
		if s.section == section {
			names = append(names, s.key)
		}
	}
	return names
}
