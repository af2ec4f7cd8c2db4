package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// ReplicasChange is an update of the replicas from the platform; Text is parsed field by field.
type ReplicasChange struct {
	Text json.RawMessage `json:"text"`
}

// applyReplicas applies the platform's update to the register of replicas.
func (c *Core) applyReplicas(ctx context.Context, request ReplicasChange) (Accepted, error) {
	replicas, err := config.ParseReplicas(request.Text)
	if err != nil {
		return Accepted{}, err
	}
	revision, err := c.owner.Change(ctx, config.ReplicasKey, func(current register.Fields, _ uint64) (register.Fields, error) {
		change := register.Fields{}
		for _, replica := range replicas {
			if replica.State == config.ReplicaGone {
				change[replica.Name] = nil
				continue
			}
			if replica.State == config.ReplicaDraining && replica.Address == "" {
				var known config.Replica
				if current[replica.Name] == nil || json.Unmarshal(current[replica.Name], &known) != nil {
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
