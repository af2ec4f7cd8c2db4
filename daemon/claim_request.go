package daemon

import (
	"fmt"

	"asterridge/config"
	"asterridge/register"
	"asterridge/router"
)

// ClaimRequest asks for a client's idempotency key, or reports how the request that holds it ended (docs/design.md §5.5).
type ClaimRequest struct {
	router.Claim
	// Proxy names the run of the proxy that holds the key. A key whose proxy no longer runs has an unknown outcome.
	Proxy string `json:"proxy"`
}

// ClaimsPrefix begins the keys of the registers that hold claims.
const ClaimsPrefix = "claims/"

// claimGroups is the number of those registers. One register for each claim would cost a synced promise for each request.
const claimGroups = 64

// Field is the claim's field in its register: a hash of the tenant and the client's key.
func (r ClaimRequest) Field() string { return config.HashKey(r.Tenant + "\x00" + r.Key) }

// Register is the key of the register that the claim belongs to.
func (r ClaimRequest) Register() string {
	return fmt.Sprintf(ClaimsPrefix+"%02d", register.Weight(r.Field(), "")%claimGroups)
}
