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
	// Proxy names the run of the proxy that holds the key. A key whose proxy no longer runs has an unknown outcome.
	Proxy string `json:"proxy"`
}

// RegisterPrefix begins the keys of the registers that hold claims.
const RegisterPrefix = "claims/"

// registers is the number of those registers. One register for each claim would cost a synced promise for each request.
const registers = 64

// Field is the claim's field in its register: a hash of the tenant and the client's key.
func (r Request) Field() string { return config.HashKey(r.Tenant + "\x00" + r.Key) }

// Register is the key of the register that the claim belongs to.
func (r Request) Register() string {
	return fmt.Sprintf(RegisterPrefix+"%02d", rendezvous.Weight(r.Field(), "")%registers)
}
