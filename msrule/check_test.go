package msrule

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheckErrorNamesTheRule(t *testing.T) {
	origin := Origin{AskedBy: "me"}
	require.NoError(t, Check(Set{}))
	err := Check(Set{
		Pools:  []Pool{{Name: "p", Slots: 1, Connections: 1, Available: 101, Origin: origin}},
		VMs:    []VM{{Name: "v", Pool: "p", Origin: Origin{AskedBy: "a\nvm w pool=p # b"}}},
		Teams:  []Team{{Name: "a", Share: 1, Limit: 1, Origin: Origin{AskedBy: " me"}}, {Name: "a", Share: 1, Limit: 1}},
		Queues: []Queue{{Name: "q", Pool: "p", Origin: origin}},
	})
	require.EqualError(t, err, strings.Join([]string{
		"vm v: asked-by: U+000A is a control character; remove it",
		"team a: asked-by: the text has leading or trailing blanks; remove them",
		"team a: name: duplicate team a, already defined; want each name once",
		"team a: asked-by: the rule doesn't say who asked for it; give a name",
		"pool p: available: 101 is out of range; want 0 to 100",
		"queue q: teams: the queue has no team; want at least one team",
		"queue q: deadline: 0s is out of range; want more than 0s, up to 24h0m0s",
	}, "\n"))
}

func TestCheckRejectsRuleLongerThanMaxLine(t *testing.T) {
	s := Set{Pools: []Pool{{Name: "p", Slots: 1, Connections: 1, Origin: Origin{AskedBy: "me"}}}}
	q := Queue{Name: "q", Pool: "p", Deadline: time.Second, Origin: Origin{AskedBy: "me"}}
	for i := range 200 {
		name := strings.Repeat("t", MaxNameLength-3) + string(rune('a'+i/20)) + string(rune('a'+i%20))
		s.Teams = append(s.Teams, Team{Name: name, Share: 1, Limit: 1, Origin: Origin{AskedBy: "me"}})
		q.Teams = append(q.Teams, name)
	}
	s.Queues = []Queue{q}
	require.EqualError(t, Check(s), "queue q: line: the formatted rule is 12652 bytes long; want at most 8192 bytes")
	require.Error(t, Format(&strings.Builder{}, s))
}

func TestIndex(t *testing.T) {
	s, err := Parse("f", strings.NewReader(sample))
	require.NoError(t, err)
	x := NewIndex(s)
	p, ok := x.Pool("paint")
	require.True(t, ok)
	require.Equal(t, s.Pools[0], p)
	p, ok = x.SparePool()
	require.True(t, ok)
	require.Equal(t, s.Pools[1], p)
	q, ok := x.Queue("run")
	require.True(t, ok)
	require.True(t, q.Admits("sprayers"))
	require.False(t, q.Admits("fitters"))
	team, _ := x.Team("fitters")
	require.Equal(t, s.Teams[0], team)
	k, _ := x.KeyByDigest(digestA)
	require.Equal(t, s.Keys[0], k)
	d, _ := x.DataCentre("east")
	require.Equal(t, s.DataCentres[0], d)
	v, _ := x.VM("vm-1")
	require.Equal(t, s.VMs[0], v)
	_, ok = x.KeyByDigest(digestB)
	require.False(t, ok)
	_, ok = new(Index).SparePool()
	require.False(t, ok)
}

func TestSecret(t *testing.T) {
	random := strings.NewReader(strings.Repeat("\x00", 31) + "\x01" + strings.Repeat("\xff", 32))
	secret, digest, err := NewSecret(random)
	require.NoError(t, err)
	require.Equal(t, "ms_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAE", secret)
	require.Equal(t, Digest(secret), digest)
	other, otherDigest, err := NewSecret(random)
	require.NoError(t, err)
	require.NotEqual(t, secret, other)
	require.NotEqual(t, digest, otherDigest)
	require.Zero(t, secretIndex(other))
	x := NewIndex(Set{Keys: []Key{{ID: "k", Digest: digest}}})
	k, ok := x.KeyBySecret(secret)
	require.True(t, ok)
	require.Equal(t, "k", k.ID)
	_, ok = x.KeyBySecret(other)
	require.False(t, ok)
	require.Equal(t, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", Digest("abc"))

	secret, digest, err = NewSecret(iotest.ErrReader(errors.ErrUnsupported))
	require.ErrorIs(t, err, errors.ErrUnsupported)
	require.Empty(t, secret+digest)
}
