package msrule

import (
	"strings"
	"testing"
)

// BenchmarkIndex measures the lookups of one request: its queue, the key of its
// secret, whether the queue admits the team, and the pool.
func BenchmarkIndex(b *testing.B) {
	s, err := Parse("f", strings.NewReader(sample))
	if err != nil {
		b.Fatal(err)
	}
	secret := SecretPrefix + strings.Repeat("x", 43)
	s.Keys[0].Digest = Digest(secret)
	x := NewIndex(s)
	b.ReportAllocs()
	for b.Loop() {
		q, _ := x.Queue("match")
		k, _ := x.KeyBySecret(secret)
		p, ok := x.Pool(q.Pool)
		if !ok || !q.Admits(k.Team) || p.Slots == 0 {
			b.Fatal("lookup failed")
		}
	}
}
