package daemon

import (
	"fmt"

	"asterridge/config"
	"asterridge/register"
	"asterridge/router"
)

// ClaimRequest is a proxy's claim with what tells whether the proxy still runs.
type ClaimRequest struct {
	router.Claim
	Proxy string `json:"proxy"`
}

const claimGroups = 64

const claimsPrefix = "claims/"

func ClaimField(o ClaimRequest) string { return config.HashKey(o.Tenant + "\x00" + o.Key) }

func ClaimGroup(o ClaimRequest) string {
	return fmt.Sprintf(claimsPrefix+"%02d", register.Weight(ClaimField(o), "")%claimGroups)
}
