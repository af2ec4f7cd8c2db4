// Package register is the control state: acceptors, which have promises and accepted changes on disk, and owners, which
// change one key each under an epoch (docs/design.md §2).
package register

import (
	"encoding/json"
	"hash/fnv"
	"maps"
)

// Revision orders the changes of one key.
type Revision struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
}

// Less compares epoch first, then version.
func (s Revision) Less(other Revision) bool {
	return s.Epoch < other.Epoch || s.Epoch == other.Epoch && s.Version < other.Version
}

// Fields are a key's content; in a change a null takes a field away.
type Fields map[string]json.RawMessage

// IsDeleted says whether a change takes the field away.
func IsDeleted(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// Apply lays a change over fields, in place.
func (f Fields) Apply(change Fields) {
	for name, value := range change {
		if IsDeleted(value) {
			delete(f, name)
		} else {
			f[name] = value
		}
	}
}

// Clone copies the map, not the values (which are never altered).
func (f Fields) Clone() Fields {
	if f == nil {
		return Fields{}
	}
	return maps.Clone(f)
}

// Change is one accept asked of an acceptor.
type Change struct {
	Key       string   `json:"key"`
	Base      Revision `json:"base"`
	Next      Revision `json:"next"`
	Full      bool     `json:"whole,omitempty"`
	Fields    Fields   `json:"fields"`
	Committed Revision `json:"settled"`
}

// Weight is a rendezvous weight of a name for a key.
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick gives the name with the highest rendezvous weight.
func Pick(key string, names []string) string {
	var best string
	var top uint64
	for _, name := range names {
		if w := Weight(key, name); best == "" || w > top || w == top && name < best {
			best, top = name, w
		}
	}
	return best
}
