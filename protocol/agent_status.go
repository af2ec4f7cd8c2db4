package protocol

import "asterridge/router"

// AgentStatus is what an agent reports about itself and its proxy with each watch request to a core.
type AgentStatus struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Current is true while the agent can confirm that its proxy's configuration is current (docs/design.md §3.2).
	Current bool `json:"current"`
	// NotCurrentReason explains to an operator why Current is false; empty while it is true.
	NotCurrentReason string `json:"why,omitempty"`
	// Proxy is the status of the agent's proxy; nil while none is connected.
	Proxy *router.Status `json:"proxy,omitempty"`
}
