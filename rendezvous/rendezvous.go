// Package rendezvous implements rendezvous hashing (highest random weight): every process that knows the same names picks the same one for a
// key, and adding or removing a name moves only the keys of that name.
package rendezvous

import "hash/fnv"

// Weight returns the weight of a name for a key. It must be the same in all builds that run at the same time.
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	_, _ = h.Write([]byte{0})    // as above
	_, _ = h.Write([]byte(key))  // as above
	return mix(h.Sum64())
}

// mix is a finalizer that spreads the bits of a hash: FNV alone gives similar names similar high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick returns the name with the highest weight for a key; empty if there are no names.
func Pick(key string, names []string) string {
	var best string
	var highest uint64
	for _, name := range names {
		if weight := Weight(key, name); best == "" || weight > highest || weight == highest && name < best {
			best, highest = name, weight
		}
	}
	return best
}
