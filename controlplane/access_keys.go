package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/idempotency"
	"asterridge/register"
)

// accessKeyHashLength is the length of an access key's hash in hex digits.
const accessKeyHashLength = 32

// AccessKeyChange adds or revokes a tenant's access key. Only the hash of the key is sent and stored.
type AccessKeyChange struct {
	idempotency.Key
	Tenant  string `json:"tenant"`
	Hash    string `json:"hash"`
	Revoked bool   `json:"revoked"`
}

// Register returns the key of the register that holds the tenant's access keys.
func (request AccessKeyChange) Register() string { return config.KeysPrefix + request.Tenant }

// applyAccessKey adds a key to the current incarnation of a tenant, or revokes one. A revoked key cannot be added again.
func (c *Core) applyAccessKey(ctx context.Context, request AccessKeyChange) (Accepted, error) {
	if request.Tenant == "" || len(request.Hash) != accessKeyHashLength {
		return Accepted{}, apierror.New(apierror.Missing, "a key order needs a tenant and a key's hash of %d hex digits", accessKeyHashLength)
	}
	incarnation, tenantErr := c.tenantIncarnation(ctx, request.Tenant)
	idempotencyKey := request.Key
	request.Key = idempotency.Key{}
	return c.changeOnce(ctx, request.Register(), "access key", idempotencyKey, request, func(current register.Fields, _ uint64) (register.Fields, error) {
		var key config.Access
		exists := current[request.Hash] != nil && json.Unmarshal(current[request.Hash], &key) == nil
		switch {
		case tenantErr != nil && !request.Revoked:
			return nil, tenantErr
		case request.Revoked && !exists:
			return nil, apierror.New(apierror.NotFound, "tenant %s has no such key", request.Tenant)
		case request.Revoked:
			key.Revoked = true
			return config.Field(request.Hash, key), nil
		case key.Revoked:
			return nil, apierror.New(apierror.Conflict, "the key was revoked and cannot be added again")
		}
		return config.Field(request.Hash, config.Access{TenantVersion: incarnation}), nil
	})
}

// tenantIncarnation returns the configuration version that created a tenant, read from a configuration at least as new as at the time
// of the call. The error is apierror.NotFound if there is no such tenant.
func (c *Core) tenantIncarnation(ctx context.Context, name string) (uint64, error) {
	plan, err := c.newestPlan(ctx)
	if err != nil {
		return 0, err
	}
	tenant, ok := plan.Tenants[name]
	if !ok {
		return 0, apierror.New(apierror.NotFound, "no tenant %q", name)
	}
	return tenant.CreatedVersion, nil
}
