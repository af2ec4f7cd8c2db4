package lease

import (
	"encoding/json"

	"asterridge/apierror"
	"asterridge/register"
)

// Grant is a lease as stored in its role's register. The version alone does not identify a grant: one that only a minority of disks has may
// have the same version as another that a majority accepted under a later epoch. So each grant has its own nonce.
type Grant struct {
	Holder string `json:"holder"`
	Nonce  string `json:"mark"`
	// Version is the version of the register; it is the lease's fencing token.
	Version uint64 `json:"version"`
}

// IsFree reports whether nobody holds the role: it was never granted, or its last holder released it.
func (g Grant) IsFree() bool { return g.Version == 0 || g.IsReleased() }

// IsReleased reports whether the role's last holder released it.
func (g Grant) IsReleased() bool { return g.Version != 0 && g.Holder == "" }

// Fields of a role's register.
const (
	holderField = "holder"
	nonceField  = "mark"
)

// ReadGrant returns the grant in a role's register; the zero Grant if the role was never granted. An unreadable holder counts as a holder:
// candidates wait for the end of its lease as of any other.
func ReadGrant(fields register.Fields, version uint64) Grant {
	return Grant{Holder: decodeString(fields[holderField]), Nonce: decodeString(fields[nonceField]), Version: version}
}

// decodeString returns a stored JSON string, or the raw bytes if they are not one; empty if there are no bytes.
func decodeString(raw json.RawMessage) (text string) {
	if json.Unmarshal(raw, &text) != nil {
		return string(raw)
	}
	return text
}

// Replace returns the register operation that replaces the expected grant by this one. Its error is apierror.Conflict if the register has
// another grant than the expected one.
func (g Grant) Replace(expected Grant) register.Op {
	return func(present register.Fields, version uint64) (register.Fields, error) {
		if current := ReadGrant(present, version); current.Version != expected.Version || current.Nonce != expected.Nonce {
			return nil, apierror.New(apierror.Conflict, "expected version %d of %s, present is %d of %s",
				expected.Version, expected.Holder, version, current.Holder)
		}
		holder, err := json.Marshal(g.Holder)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Internal, "holder")
		}
		nonce, err := json.Marshal(g.Nonce)
		return register.Fields{holderField: holder, nonceField: nonce}, apierror.Wrap(err, apierror.Internal, "nonce")
	}
}
