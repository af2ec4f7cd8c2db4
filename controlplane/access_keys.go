package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/idempotency"
	"asterridge/register"
)

// accessKeyHashLength is the number of hex digits of an access key's hash.
const accessKeyHashLength = 32

// AccessKeyChange adds or revokes a tenant's access key. Only the key's hash is sent and stored.
type AccessKeyChange struct {
	idempotency.Key
	Tenant  string `json:"tenant"`
	Hash    string `json:"hash"`
	Revoked bool   `json:"revoked"`
}

// Register is the register that the change concerns.
func (order AccessKeyChange) Register() string { return config.KeysPrefix + order.Tenant }

// applyAccessKey adds a key to the present incarnation of a tenant, or revokes one. A revoked key does not come back.
func (c *Core) applyAccessKey(ctx context.Context, order AccessKeyChange) (Accepted, error) {
	if order.Tenant == "" || len(order.Hash) != accessKeyHashLength {
		return Accepted{}, apierror.New(apierror.Missing, "a key order needs a tenant and a key's hash of %d hex digits", accessKeyHashLength)
	}
	incarnation, noTenant := c.tenantIncarnation(ctx, order.Tenant)
	idempotencyKey := order.Key
	order.Key = idempotency.Key{}
	return c.changeOnce(ctx, order.Register(), "access key", idempotencyKey, order, func(present register.Fields, _ uint64) (register.Fields, error) {
		var key config.Access
		exists := present[order.Hash] != nil && json.Unmarshal(present[order.Hash], &key) == nil
		switch {
		case noTenant != nil && !order.Revoked:
			return nil, noTenant
		case order.Revoked && !exists:
			return nil, apierror.New(apierror.NotFound, "tenant %s has no such key", order.Tenant)
		case order.Revoked:
			key.Revoked = true
			return config.Field(order.Hash, key), nil
		case key.Revoked:
			return nil, apierror.New(apierror.Conflict, "the key was revoked: it does not come back")
		}
		return config.Field(order.Hash, config.Access{TenantVersion: incarnation}), nil
	})
}

// tenantIncarnation gives the configuration's version that created a tenant, no older than at the time of the call. The error is
// apierror.NotFound if there is no such tenant.
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
