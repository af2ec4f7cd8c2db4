package daemon

import "asterridge/router"

// AgentStatus is what an agent tells the cores of itself and its proxy.
type AgentStatus struct {
	Address          string         `json:"address"`
	Zone             string         `json:"zone"`
	Current          bool           `json:"current"`
	NotCurrentReason string         `json:"why,omitempty"`
	Proxy            *router.Status `json:"proxy,omitempty"`
}
