package claim

import (
	"fmt"

	"asterridge/config"
	"asterridge/rendezvous"
	"asterridge/router"
)

// Request asks for a client's idempotency key, or reports how the request that holds it ended.
type Request struct {
	router.Claim
	// Proxy names the run of the proxy that holds the key. If that run has ended, the outcome of its request is unknown.
	Proxy string `json:"proxy"`
}

// RegisterPrefix is the prefix of the keys of the registers that hold claims.
const RegisterPrefix = "claims/"

// registerCount is the number of those registers. One register per claim would cost a promise synced to disk for each request.
const registerCount = 64

// Field returns the claim's field in its register: a hash of the tenant and the client's key.
func (r Request) Field() string { return config.HashKey(r.Tenant + "\x00" + r.Key) }

// Register returns the key of the register that holds the claim.
func (r Request) Register() string {
	return fmt.Sprintf(RegisterPrefix+"%02d", rendezvous.Weight(r.Field(), "")%registerCount)
}
