package protocol

import "asterridge/router"

// AgentStatus is what an agent reports of itself and its proxy with each watch request to a core.
type AgentStatus struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Current is true while the agent may vouch for its proxy's configuration (docs/design.md §3.2).
	Current bool `json:"current"`
	// NotCurrentReason says in words why it is not; empty while it is.
	NotCurrentReason string `json:"why,omitempty"`
	// Proxy is the status of the proxy beside the agent; nil while none is connected.
	Proxy *router.Status `json:"proxy,omitempty"`
}
