package mstoken

import "github.com/cespare/xxhash/v2"

// Home returns the member with the highest rendezvous hash for resource, or "" if there
// are no members. The result does not depend on the order of members.
func Home(members []string, resource string) string {
	i := homeIndex(members, memberHashes(members), resource)
	if i < 0 {
		return ""
	}
	return members[i]
}

func memberHashes(members []string) []uint64 {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m)
	}
	return hashes
}

func homeIndex(members []string, hashes []uint64, resource string) int {
	best := -1
	var bestScore uint64
	r := xxhash.Sum64String(resource)
	for i, m := range members {
		score := fmix64(r ^ hashes[i])
		if best < 0 || score > bestScore || score == bestScore && m < members[best] {
			best, bestScore = i, score
		}
	}
	return best
}

// fmix64 is the finalizer of MurmurHash3: every bit of x affects every bit of the result.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
