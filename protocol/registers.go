package protocol

import (
	"strings"

	"asterridge/config"
)

// IdentityFolder is the folder of a process's disk that holds the process's own data, as opposed to registers.
const IdentityFolder = "self"

// ThrottlePrefix is the key prefix of the registers that hold throttles, one for each scope.
const ThrottlePrefix = "hold/"

// IsPublished reports whether a register is sent to the agents. An agent is current only if all of these are (docs/design.md §3.2).
func IsPublished(key string) bool {
	switch key {
	case config.Key, config.ModelsKey, config.LoadsKey, config.RetirementKey, config.ReplicasKey, config.MembersKey:
		return true
	}
	return strings.HasPrefix(key, config.KeysPrefix)
}
