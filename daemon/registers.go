package daemon

import (
	"strings"

	"asterridge/config"
)

const ThrottlePrefix = "hold/"

func IsPublished(key string) bool {
	return key == config.Key || key == config.ModelsKey || key == config.LoadsKey || key == config.RetirementKey || key == config.ReplicasKey || key == config.MembersKey || strings.HasPrefix(key, config.KeysPrefix)
}
