package msbudget

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func budget(limit int64) *Budget {
	return &Budget{Limit: func() int64 { return limit }}
}

func (b *Budget) claim(revoked *int) *Claim {
	return b.Claim(func() { *revoked++ })
}

func TestOldestUnfinishedClaimLosesItsBytes(t *testing.T) {
	b := budget(100)
	var first, second, third int
	c1, c2, c3 := b.claim(&first), b.claim(&second), b.claim(&third)
	require.True(t, c1.Grow(40))
	require.True(t, c2.Grow(40))
	require.True(t, c3.Grow(40))
	require.Equal(t, []int{1, 0, 0}, []int{first, second, third})
	require.False(t, c1.Grow(1))
	require.False(t, c1.Seal())
	used, claims := b.Used()
	require.EqualValues(t, 80, used)
	require.Equal(t, 2, claims)
}

func TestSealedClaimsKeepTheirBytes(t *testing.T) {
	b := budget(100)
	var first, second, third int
	c1, c2, c3 := b.claim(&first), b.claim(&second), b.claim(&third)
	require.True(t, c1.Grow(60))
	require.True(t, c1.Seal())
	require.True(t, c2.Grow(30))
	require.False(t, c3.Grow(50))
	require.Equal(t, []int{0, 0, 0}, []int{first, second, third}, "nothing is revoked in vain")
	require.True(t, c3.Grow(20))
	require.Equal(t, []int{0, 1, 0}, []int{first, second, third})
	c1.Release()
	c1.Release()
	c2.Release()
	require.True(t, c3.Grow(70))
}

func TestClaimLargerThanTheBudgetIsGranted(t *testing.T) {
	b := budget(100)
	var large, small int
	c := b.claim(&large)
	require.True(t, c.Grow(50))
	require.True(t, c.Grow(150))
	s := b.claim(&small)
	require.True(t, s.Grow(25))
	require.Zero(t, large)
	require.True(t, s.Grow(1))
	require.Equal(t, 1, large)
	require.True(t, s.Seal())
	require.False(t, b.claim(&large).Grow(200))
}

// Ordinary requests were refused while a large job was decoded.
func TestSmallClaimsFitBesideALargeOne(t *testing.T) {
	b := budget(100_000)
	var large, small int
	c := b.claim(&large)
	require.True(t, c.Grow(300_000))
	require.True(t, c.Seal())
	var claims []*Claim
	for range 200 {
		claims = append(claims, b.claim(&small))
		require.True(t, claims[len(claims)-1].Grow(250))
	}
	require.True(t, b.claim(&small).Grow(250))
	require.Equal(t, 1, small, "the oldest of the small ones makes room")
	for _, c := range claims[1:] {
		require.True(t, c.Seal())
	}
	require.False(t, b.claim(&small).Grow(1000))
	require.Zero(t, large)
}

// The largest request must find room beside ordinary ones that are being handed in.
func TestLargestClaimFitsBesideSealedOnes(t *testing.T) {
	b := budget(100_000)
	var revoked int
	for range 60 {
		c := b.claim(&revoked)
		require.True(t, c.Grow(400))
		require.True(t, c.Seal())
	}
	require.True(t, b.claim(&revoked).Grow(1_000_000))
	require.Zero(t, revoked)
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	b := budget(1000)
	var claims []*Claim
	for range 20_000 {
		var revoked int
		switch r.IntN(4) {
		case 0:
			claims = append(claims, b.claim(&revoked))
		case 1, 2:
			if len(claims) > 0 {
				claims[r.IntN(len(claims))].Grow(1 + r.Int64N(400))
			}
		case 3:
			if len(claims) > 0 {
				i := r.IntN(len(claims))
				if r.IntN(2) == 0 {
					claims[i].Seal()
				} else {
					claims[i].Release()
					claims = append(claims[:i], claims[i+1:]...)
				}
			}
		}
		used, _ := b.Used()
		var sum int64
		for _, c := range claims {
			sum += c.bytes
		}
		require.Equal(t, sum, used)
		require.LessOrEqual(t, used, int64(1250))
		var large int64
		for _, c := range claims {
			if c.bytes > 3 {
				large += c.bytes
			}
		}
		require.LessOrEqual(t, large, int64(1000))
	}
	for _, c := range claims {
		c.Release()
	}
	used, n := b.Used()
	require.Zero(t, used)
	require.Zero(t, n)
}
