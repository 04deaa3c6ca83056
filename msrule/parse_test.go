package msrule

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sample = `# Rules of the tests.

data-centre east region=north   # somchai, T-1
pool paint size=10 slots=8 connections=64 available=80%	# somchai, T-2
pool extra size=2 slots=8 connections=64 available=0% spare=yes # somchai # T-3
vm vm-1 pool=paint # wanida
team fitters share=3 limit=40 # wanida
team sprayers share=1 limit=20 # wanida
queue match pool=paint teams=all idempotent=yes urgent=yes deadline=1500ms # กมล
queue run pool=paint teams=sprayers # wanida
queue page pool=paint teams=fitters open=yes idempotent=yes deadline=3s # wanida
key k1 team=fitters digest=` + digestA + " # wanida\r\n"

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func TestParse(t *testing.T) {
	s, err := Parse("a.rules", strings.NewReader(sample))
	require.NoError(t, err)
	require.Equal(t, Set{
		DataCentres: []DataCentre{{"east", "north", Origin{3, "somchai, T-1"}}},
		Pools: []Pool{
			{"paint", 10, 8, 64, 80, false, Origin{4, "somchai, T-2"}},
			{"extra", 2, 8, 64, 0, true, Origin{5, "somchai # T-3"}},
		},
		VMs:   []VM{{"vm-1", "paint", Origin{6, "wanida"}}},
		Teams: []Team{{"fitters", 3, 40, Origin{7, "wanida"}}, {"sprayers", 1, 20, Origin{8, "wanida"}}},
		Queues: []Queue{
			{"match", "paint", []string{"fitters", "sprayers"}, false, true, true, 1500 * time.Millisecond, Origin{9, "กมล"}},
			{"run", "paint", []string{"sprayers"}, false, false, false, 10 * time.Second, Origin{10, "wanida"}},
			{"page", "paint", []string{"fitters"}, true, true, false, 3 * time.Second, Origin{11, "wanida"}},
		},
		Keys: []Key{{"k1", "fitters", digestA, Origin{12, "wanida"}}},
	}, s)
}

func TestParseErrors(t *testing.T) {
	const (
		pool  = "pool p size=1 slots=2 connections=2 available=50% # me\n"
		teams = "team a share=1 limit=1 # me\nteam b share=1 limit=1 # me\n"
	)
	secret := SecretPrefix + strings.Repeat("x", 43)
	long := strings.Repeat("x", MaxLineLength+1)
	wantName := "want 1 to 63 letters, digits, - _ or . after a letter or digit"
	for _, test := range []struct{ text, want string }{
		{"data-centre d region=r", "1:23: asked-by: the line doesn't say who asked for the rule; end it with # and a name"},
		{"data-centre d region=r # \t", "1:24: asked-by: the line doesn't say who asked for the rule; end it with # and a name"},
		{"  tema a share=1 limit=1 # me", `1:3: kind: "tema" is no kind of rule; did you mean team?`},
		{"job a # me", `1:1: kind: "job" is no kind of rule; want one of data-centre, key, pool, queue, team, vm`},
		{"team share=1 limit=1 # me", "1:1: name: the rule has no name; want the name after the kind"},
		{"team # me", "1:1: name: the rule has no name; want the name after the kind\n1:1: share: the field is missing; give share=\n1:1: limit: the field is missing; give limit="},
		{"team a share=1 limt=1 limit=1 # me", "1:16: limt: unknown field; did you mean limit?"},
		{"team a share=1 colour=1 limit=1 # me", "1:16: colour: unknown field; want one of share, limit"},
		{"team a share=1 limit=1 share=2 # me", "1:24: share: the field is given twice; give it once"},
		{"team a share=1 limit=1 loud # me", `1:24: line: "loud" is no field; want key=value`},
		{"team a share= limit=1 # me", "1:8: share: the field is empty; give its value after ="},
		{"team a share=1.5 limit=x # me", "1:8: share: \"1.5\" is no number; want a whole number\n1:18: limit: \"x\" is no number; want a whole number"},
		{"team a share=0 limit=-1 # me", "1:8: share: 0 is out of range; want 1 to 1073741824\n1:16: limit: -1 is out of range; want 1 to 1073741824"},
		{"team all share=1 limit=1 # me", "1:6: name: the name all is reserved for teams=all; want another name"},
		{"team -a share=1 limit=1 # me", `1:6: name: "-a" is no name; ` + wantName},
		{"team ทีม share=1 limit=1 loud # me", `1:6: name: "ทีม" is no name; ` + wantName + "\n" + `1:26: line: "loud" is no field; want key=value`},
		{"data-centre d region=a/b # me", `1:15: region: "a/b" is no name; ` + wantName},
		{teams + "team a share=1 limit=1 # me", "3:6: name: duplicate team a, already defined on line 1; want each name once"},
		{"pool p size=-1 slots=0 connections=0 available=101% # me", "1:8: size: -1 is out of range; want 0 to 1073741824\n1:16: slots: 0 is out of range; want 1 to 1024\n1:24: connections: 0 is out of range; want 1 to 1073741824\n1:38: available: 101 is out of range; want 0 to 100"},
		{"pool p size=1 slots=1025 connections=1024 available=1% # me", "1:15: slots: 1025 is out of range; want 1 to 1024\n1:26: connections: 1024 is out of range; want 1025 to 1073741824"},
		{"pool p size=1 slots=8 connections=7 available=80 # me", "1:23: connections: 7 is out of range; want 8 to 1073741824\n1:37: available: \"80\" is no number; want a whole number of percent, as in 80%"},
		{"pool p size=1 slots=8 connections=8 available=80% spare=maybe # me", `1:51: spare: "maybe" is neither yes nor no; want yes or no`},
		{"pool p size=1 slots=2 connections=2 available=0% spare=yes # me\npool q size=1 slots=2 connections=2 available=0% spare=yes # me", "2:50: spare: pool p is the spare pool already; want at most one spare pool"},
		{pool + "vm v pool=q # me", `2:6: pool: there is no pool "q"; want one of p`},
		{"vm v pool=q # me", `1:6: pool: there is no pool "q"; there is none yet`},
		{pool + "vm v pool=p # me\nvm v pool=p # me", "3:4: name: duplicate vm v, already defined on line 2; want each name once"},
		{pool + strings.ReplaceAll(pool, " p ", " q ") + "vm v pool=p # me\nvm v pool=q # me", "4:6: pool: the VM is in pool p already on line 3; want each VM in one pool"},
		{pool + teams + "queue q pool=r teams=a,c,a # me", "4:9: pool: there is no pool \"r\"; want one of p\n4:16: teams: there is no team \"c\"; want one of a, b\n4:16: teams: team \"a\" is given twice; give it once"},
		{pool + "queue q pool=p teams=all # me", "2:16: teams: the queue has no team; want at least one team"},
		{pool + teams + "queue q pool=p teams=a,b open=yes # me", "4:26: open: an open queue is counted for one team, not 2; want teams= with one team"},
		{teams + "pool s size=1 slots=2 connections=2 available=0% spare=yes # me\nqueue q pool=s teams=a # me", "4:9: pool: pool s is the spare pool; want a pool that serves queues"},
		{pool + teams + "queue q pool=p teams=a deadline=0s # me", "4:24: deadline: 0s is out of range; want more than 0s, up to 24h0m0s"},
		{pool + teams + "queue q pool=p teams=a deadline=25h # me", "4:24: deadline: 25h0m0s is out of range; want more than 0s, up to 24h0m0s"},
		{pool + teams + "queue q pool=p teams=a deadline=10 # me", `4:24: deadline: "10" is no duration; want a number with its unit, as in 10s or 500ms`},
		{teams + "key k team=c digest=" + digestA + " # me", `3:7: team: there is no team "c"; want one of a, b`},
		{teams + "key k team=a digest=AA # me", "3:14: digest: this is no digest; want 64 digits of lower-case hexadecimal"},
		{teams + "key k team=a digest=" + strings.ToUpper(digestA) + " # me", "3:14: digest: this is no digest; want 64 digits of lower-case hexadecimal"},
		{teams + "key k team=a digest=" + secret + " # me", "3:21: line: " + secretExposed + "; " + secretAdvice},
		{teams + "key k team=a digest=" + digestA + " # me\nkey l team=b digest=" + digestA + " # me", "4:14: digest: key k has this digest already on line 3; want a secret of its own for each key"},
		{"\n" + long, "2:8193: line: the line is 8193 bytes long; want at most 8192 bytes"},
		{"team ก\x00", "1:7: line: U+0000 is a control character; remove it"},
		{"team a # me\rteam b", "1:12: line: U+000D is a control character; remove it"},
		{"\uFEFF# rules", "1:1: line: U+FEFF is a control character; remove it"},
		{"team a # \u202Eme", "1:10: line: U+202E is a control character; remove it"},
		{"# ก\xff", "1:4: line: byte 0xFF is not UTF-8; remove it"},
		{strings.Repeat("#\n", MaxFileSize/2) + "#", "0:0: file: the file is too long; want at most 1048576 bytes"},
	} {
		_, err := Parse("f", strings.NewReader(test.text))
		require.Error(t, err, "%.200s", test.text)
		require.Equal(t, "f:"+strings.ReplaceAll(test.want, "\n", "\nf:"), err.Error(), "%.200s", test.text)
		var errs Errors
		require.ErrorAs(t, err, &errs)
		var first Error
		require.ErrorAs(t, err, &first)
		require.Equal(t, errs[0], first)
	}
}

func TestParseReportsErrorsOnAllLines(t *testing.T) {
	_, err := Parse("f", strings.NewReader("vm v pool=p # me\nteam a share=0 limit=1 # me\nvm w pool=p\n"))
	var errs Errors
	require.ErrorAs(t, err, &errs)
	var lines []int
	for _, e := range errs {
		lines = append(lines, e.Line)
	}
	require.Equal(t, []int{1, 2, 3, 3}, lines)
}
