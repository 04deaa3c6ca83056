package mssetting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// minimalFile contains only the required settings.
const minimalFile = `[entry]
name = e1
data-centre = east
rack = r1
listen = 10.0.0.1:8080
admin-listen = 10.0.0.1:8081
peer-listen = 10.0.0.1:8082
[log]
address = 10.0.9.1:7000
`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("f", []byte(minimalFile))
	require.NoError(t, err)
	want := Defaults()
	want.Entry = Entry{
		Name: "e1", DataCentre: "east", Rack: "r1",
		Listen: "10.0.0.1:8080", AdminListen: "10.0.0.1:8081",
		PeerListen: "10.0.0.1:8082", Advertise: "10.0.0.1:8082",
	}
	want.Log.Address = "10.0.9.1:7000"
	require.Equal(t, want, s)
	require.Equal(t, int64(64<<20), s.Limits.MaxBody)
}

func TestParseAcceptsComments(t *testing.T) {
	text := "# a\n; b's\n[entry] ; the [entry]\n" + strings.TrimPrefix(minimalFile, "[entry]\n") + "stream-prefix=a#b\t# ours = x\r\ntimeout=1s # it's\n[audit]\n"
	_, err := Parse("f", []byte(text))
	require.EqualError(t, err, `f:12: [log] stream-prefix: "a#b" is no name; want up to 63 letters, digits, - _ or . after a letter or digit`)
	s, err := Parse("f", []byte(strings.Replace(text, "a#b", "a.b", 1)))
	require.NoError(t, err)
	require.Equal(t, "a.b", s.Log.StreamPrefix)
	require.Equal(t, time.Second, s.Log.Timeout)
}

func TestParseErrors(t *testing.T) {
	const wantAddress = "; want IP:port, as in 10.0.0.7:8080, with a port of 1 to 65535"
	const wantReachable = "; want an IP address that others can reach"
	for _, test := range []struct{ text, want string }{
		{"", strings.Join([]string{
			"f: [entry] name: missing; the setting is required", "f: [entry] data-centre: missing; the setting is required",
			"f: [entry] rack: missing; the setting is required", "f: [entry] listen: missing; the setting is required",
			"f: [entry] admin-listen: missing; the setting is required", "f: [entry] peer-listen: missing; the setting is required",
			"f: [log] address: missing; the setting is required",
		}, "\n")},
		{strings.Replace(minimalFile, "e1", "", 1), "f:2: [entry] name: missing; the setting is required"},
		{strings.Replace(minimalFile, "e1", "e/1", 1), `f:2: [entry] name: "e/1" is no name; want up to 63 letters, digits, - _ or . after a letter or digit`},
		{strings.Replace(minimalFile, "e1", "'e1'", 1), `f:2: [entry] name: "'e1'" contains a quote or a backslash; want a value without either`},
		{strings.Replace(minimalFile, "10.0.0.1:8080", "east-1:8080", 1), `f:5: [entry] listen: "east-1:8080" is no address` + wantAddress},
		{strings.Replace(minimalFile, "10.0.0.1:8080", "10.0.0.1:0", 1), `f:5: [entry] listen: "10.0.0.1:0" is no address` + wantAddress},
		{strings.Replace(minimalFile, "10.0.0.1:8080", "10.0.0.1:65536", 1), `f:5: [entry] listen: "10.0.0.1:65536" is no address` + wantAddress},
		{strings.Replace(minimalFile, "10.0.0.1:8081", "0.0.0.0:8080", 1), "f:6: [entry] admin-listen: 0.0.0.0:8080 is taken by listen; want another port"},
		{strings.Replace(minimalFile, "10.0.0.1:8082", "[::]:8082", 1), "f: [entry] advertise: [::]:8082 is an unspecified address" + wantReachable},
		{strings.Replace(minimalFile, "10.0.9.1", "0.0.0.0", 1), "f:9: [log] address: 0.0.0.0:7000 is an unspecified address" + wantReachable},
		{minimalFile + "[limit]\nlease=1s", "f:10: [limit]: unknown section; did you mean limits?"},
		{minimalFile + "[DEFAULT]\nlease=1s", "f:10: [DEFAULT]: unknown section; want one of entry, log, limits, peers, drain, account, log-output, audit"},
		{minimalFile + "[limits]\nlaese=4s", "f:11: [limits] laese: unknown key; did you mean lease?"},
		{minimalFile + "[account]\npeople=4", "f:11: [account] people: unknown key; want one of flush"},
		{minimalFile + "[audit]\nfile=x", "f:11: [audit] file: unknown key; there is none yet"},
		{minimalFile + "[limits]\nlease=4s\nlease=5s", "f:12: [limits] lease: already set on line 11; give it once"},
		{minimalFile + "[log]\n", "f:10: [log]: already set on line 8; give it once"},
		{minimalFile + "[log\ntimeout=0s", `f:10: [log]: "[log" is not a section header; want [name] on a line of its own` + "\nf:11: [log] timeout: 0s is out of range; want more than 0s, up to 24h0m0s"},
		{"lease=4s\n" + minimalFile, "f:1: lease: the key is outside any section; put it below its [section]"},
		{minimalFile + "timeout", `f:10: [log]: "timeout" is not a setting; want key = value`},
		{minimalFile + "timeout=2", `f:10: [log] timeout: "2" is no duration; want a number with its unit, as in 10s or 500ms`},
		{minimalFile + "timeout=-2s", "f:10: [log] timeout: -2s is out of range; want more than 0s, up to 24h0m0s"},
		{minimalFile + "timeout=%(address)s", `f:10: [log] timeout: "%(address)s" is no duration; want a number with its unit, as in 10s or 500ms`},
		{minimalFile + "[limits]\nmax-waiting=0\nmax-body=64MB\nconnections-per-upstream=x", "f:11: [limits] max-waiting: 0 is out of range; want 1 to 1000000\n" +
			`f:12: [limits] max-body: "64MB" is no size; want a whole number of B, KiB, MiB or GiB, as in 64MiB` + "\n" + `f:13: [limits] connections-per-upstream: "x" is no number; want a whole number`},
		{minimalFile + "[limits]\nmax-body=2GiB", "f:11: [limits] max-body: 2GiB is out of range; want 1B to 1GiB"},
		{minimalFile + "[limits]\nmax-body=-1GiB", "f:11: [limits] max-body: -1GiB is out of range; want 1B to 1GiB"},
		{minimalFile + "[log-output]\nlevel=loud", `f:11: [log-output] level: "loud" is no level; want one of debug, info, warn, error`},
		{minimalFile + "[peers]\nexclude-after=3s", "f:11: [peers] exclude-after: 3s does not fit; want at least 4s, [limits] lease: an entry must stop before it is excluded"},
		{minimalFile + "[limits]\nlease=6s", "f: [peers] exclude-after: 5s does not fit; want at least 6s, [limits] lease: an entry must stop before it is excluded"},
		{minimalFile + "[peers]\nheartbeat=2s", "f:11: [peers] heartbeat: 2s does not fit; want less than 2s, half of [limits] lease"},
		{minimalFile + "timeout=4s", "f:10: [log] timeout: 4s does not fit; want less than 4s, [limits] lease"},
		{minimalFile + "[drain]\nbalancer-lag=6s", "f: [drain] grace: 35s does not fit; want at least 36s, [drain] balancer-lag and [limits] max-run together"},
		{minimalFile + "[limits]\nidempotency-window=29s", "f:11: [limits] idempotency-window: 29s does not fit; want at least 30s, [limits] max-run"},
		{minimalFile + "[limits]\nlease=x\n[peers]\nheartbeat=1h", `f:11: [limits] lease: "x" is no duration; want a number with its unit, as in 10s or 500ms`},
		{"\xff", "f: the file is not UTF-8; save it as UTF-8"},
		{strings.Repeat("#\n", MaxFileSize), "f: the file is too long; want at most 65536 bytes"},
	} {
		s, err := Parse("f", []byte(test.text))
		require.EqualError(t, err, test.want, "%.300s", test.text)
		require.Equal(t, Settings{}, s)
	}
}

func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.ini")
	_, err := Load(file)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(file, []byte(minimalFile), 0o600))
	s, err := Load(file)
	require.NoError(t, err)
	require.Equal(t, "e1", s.Entry.Name)
}

func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := Parse("f", []byte(minimalFile))
		require.NoError(t, err)
		s.Limits.MaxBody = rapid.Int64Range(1, MaxSize).Draw(t, "max-body")
		s.Limits.MaxWaiting = rapid.IntRange(1, MaxCount).Draw(t, "max-waiting")
		s.Limits.MaxRun = time.Duration(rapid.Int64Range(1, int64(30*time.Second)).Draw(t, "max-run"))
		s.LogOutput.Level = rapid.SampledFrom(levels).Draw(t, "level")
		s.Log.StreamPrefix = rapid.SampledFrom([]string{"", "a.b"}).Draw(t, "prefix")
		s.Entry.Region = rapid.SampledFrom([]string{"", "north"}).Draw(t, "region")
		var text strings.Builder
		require.NoError(t, Format(&text, s))
		reparsed, err := Parse("f", []byte(text.String()))
		require.NoError(t, err)
		require.Equal(t, s, reparsed)
	})
}
