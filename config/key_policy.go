package config

import (
	"encoding/json"
	"strings"

	"asterridge/apierror"
	"asterridge/register"
)

// KeyPolicy says which requests need an access key, besides those for public paths, which never need one.
type KeyPolicy string

// Key policies.
const (
	// KeyRequired: each request needs a key that a tenant holds. It applies once tenants have been declared, and stays when the last of them
	// is removed: the removal revokes their keys, and must not serve everybody.
	KeyRequired KeyPolicy = "required"
	// KeyOptional: a request without a key is served, one with a key that no tenant holds is rejected. A complete configuration that
	// has no list of tenants, not even an empty one, introduces it in place of KeyRequired: no key is asked for, but those of former
	// tenants stay revoked.
	KeyOptional KeyPolicy = "optional"
	// KeyIgnored: every request is served, whatever its key. It applies to numbered configurations before the first tenant.
	KeyIgnored KeyPolicy = "ignored"
)

// Register fields of the key policy. An earlier build knows openField alone, and sets it whenever it writes a numbered configuration
// without tenants. It keeps keyPolicyField where it amends a configuration.
const (
	openField      = "open"
	keyPolicyField = "key_policy"
)

// Accepts reports whether a request that bears no key of a tenant is served. hasKey reports whether it bears any key.
func (p KeyPolicy) Accepts(hasKey bool) bool {
	switch p {
	case KeyIgnored:
		return true
	case KeyOptional:
		return !hasKey
	}
	return false
}

// storedKeyPolicy returns the policy of the configuration in a register's fields. The error is apierror.Malformed.
func storedKeyPolicy(fields register.Fields) (policy KeyPolicy, err error) {
	for name := range fields {
		if strings.HasPrefix(name, tenantPrefix) {
			return KeyRequired, nil
		}
	}
	if raw := fields[keyPolicyField]; raw != nil {
		err = json.Unmarshal(raw, &policy)
	}
	_, open := fields[openField]
	switch {
	case policy == KeyRequired || policy == KeyOptional:
	case open:
		policy = KeyIgnored
	default:
		policy = KeyRequired
	}
	return policy, apierror.Wrap(err, apierror.Malformed, "register field "+keyPolicyField)
}

// isEmptiedByEarlierBuild reports whether an earlier build has removed the last tenant.
func isEmptiedByEarlierBuild(fields register.Fields, policy KeyPolicy) bool {
	_, open := fields[openField]
	return open && policy == KeyRequired
}

// keyPolicyAfter returns the policy of a numbered configuration that replaces base, where blank reports that there was none before.
func (c *Config) keyPolicyAfter(base *Config, blank bool, d NumberedConfig) KeyPolicy {
	switch {
	case len(c.Tenants) > 0:
		return KeyRequired
	case blank:
		return KeyIgnored
	case d.Full && base.KeyPolicy != KeyIgnored:
		return d.keyPolicyWithoutTenants()
	}
	return base.KeyPolicy
}

// keyPolicyWithoutTenants returns the policy that a complete configuration without tenants introduces after one that had some.
func (d NumberedConfig) keyPolicyWithoutTenants() KeyPolicy {
	if d.ListsTenants != nil && !*d.ListsTenants {
		return KeyOptional
	}
	return KeyRequired
}
