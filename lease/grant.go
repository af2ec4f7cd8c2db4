package lease

import (
	"encoding/json"

	"asterridge/apierror"
	"asterridge/register"
)

// Grant is a lease as its role's register has it. Versions alone do not tell grants apart: one that a minority of disks has may bear the same
// version as another that came to a majority under a later epoch. So each has a nonce of its own.
type Grant struct {
	Holder string `json:"holder"`
	Nonce  string `json:"mark"`
	// Version is that of the register: the lease's fencing token.
	Version uint64 `json:"version"`
}

// IsFree reports whether nobody holds the role: it was never taken, or its holder released it.
func (g Grant) IsFree() bool { return g.Version == 0 || g.IsReleased() }

// IsReleased reports whether the role's last holder released it.
func (g Grant) IsReleased() bool { return g.Version != 0 && g.Holder == "" }

// Fields of a role's register.
const (
	holderField = "holder"
	nonceField  = "mark"
)

// ReadGrant gives the grant that a role's register has; the zero one if the role was never taken. A holder that cannot be read is somebody:
// its lease is waited out as any other.
func ReadGrant(fields register.Fields, version uint64) Grant {
	return Grant{Holder: readText(fields[holderField]), Nonce: readText(fields[nonceField]), Version: version}
}

// readText gives a stored string, or the bytes themselves if they are none; empty if there are none.
func readText(raw json.RawMessage) (text string) {
	if json.Unmarshal(raw, &text) != nil {
		return string(raw)
	}
	return text
}

// Replace is the register's change by which a grant comes in the place of the expected one, and of no other. The error is apierror.Conflict
// if another one stands.
func (g Grant) Replace(expected Grant) register.Op {
	return func(present register.Fields, version uint64) (register.Fields, error) {
		if current := ReadGrant(present, version); current.Version != expected.Version || current.Nonce != expected.Nonce {
			return nil, apierror.New(apierror.Conflict, "expected version %d of %s, present is %d of %s", expected.Version, expected.Holder, version, current.Holder)
		}
		holder, err := json.Marshal(g.Holder)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Internal, "holder")
		}
		nonce, err := json.Marshal(g.Nonce)
		return register.Fields{holderField: holder, nonceField: nonce}, apierror.Wrap(err, apierror.Internal, "nonce")
	}
}
