package protocol

import (
	"strings"

	"asterridge/config"
)

// IdentityFolder is the folder of a process's disk that holds what concerns the process itself.
const IdentityFolder = "self"

// ThrottlePrefix begins the keys of the registers that hold throttles, one for each scope.
const ThrottlePrefix = "hold/"

// IsPublished reports whether a register is sent to the agents. Their currency counts every register of this kind (docs/design.md §3.2).
func IsPublished(key string) bool {
	switch key {
	case config.Key, config.ModelsKey, config.LoadsKey, config.RetirementKey, config.ReplicasKey, config.MembersKey:
		return true
	}
	return strings.HasPrefix(key, config.KeysPrefix)
}
