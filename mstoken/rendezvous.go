package mstoken

import "github.com/cespare/xxhash/v2"

// Home returns the member first in rendezvous order for resource, or "" if there
// are no members. It depends on the set of members only, not on their order.
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
	var high uint64
	r := xxhash.Sum64String(resource)
	for i, m := range members {
		score := mix(r ^ hashes[i])
		if best < 0 || score > high || score == high && m < members[best] {
			best, high = i, score
		}
	}
	return best
}

// mix is the finalizer of MurmurHash3: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
