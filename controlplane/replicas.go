package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// ReplicasChange is the platform's update of its replicas; the text is read field by field.
type ReplicasChange struct {
	Text json.RawMessage `json:"text"`
}

// applyReplicas brings the register of replicas up to the platform's update.
func (c *Core) applyReplicas(ctx context.Context, order ReplicasChange) (Accepted, error) {
	replicas, err := config.ParseReplicas(order.Text)
	if err != nil {
		return Accepted{}, err
	}
	revision, err := c.owner.Change(ctx, config.ReplicasKey, func(present register.Fields, _ uint64) (register.Fields, error) {
		change := register.Fields{}
		for _, replica := range replicas {
			if replica.State == config.ReplicaGone {
				change[replica.Name] = nil
				continue
			}
			if replica.State == config.ReplicaDraining && replica.Address == "" {
				var known config.Replica
				if present[replica.Name] == nil || json.Unmarshal(present[replica.Name], &known) != nil {
					return nil, apierror.New(apierror.NotFound, "no replica %q", replica.Name)
				}
				replica = known
				replica.State = config.ReplicaDraining
			}
			change.Apply(config.Field(replica.Name, replica))
		}
		return change, nil
	})
	c.logOutcome("replicas", config.ReplicasKey, revision, err)
	return Accepted{Version: revision.Version}, err
}
