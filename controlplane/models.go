package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// ModelVersionChange publishes a version of a model, which its replicas are to load.
type ModelVersionChange struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"` // from 1
}

// applyModelVersion publishes a version. Versions only rise; one that is not above the present one is no change.
func (c *Core) applyModelVersion(ctx context.Context, order ModelVersionChange) (Accepted, error) {
	if order.Model == "" || order.Version == 0 {
		return Accepted{}, apierror.New(apierror.Missing, "a model's version needs the model and a number from 1")
	}
	revision, err := c.owner.Change(ctx, config.ModelsKey, func(present register.Fields, _ uint64) (register.Fields, error) {
		var model config.Model
		if json.Unmarshal(present[order.Model], &model) == nil && model.Version >= order.Version {
			return nil, nil
		}
		return config.Field(order.Model, config.Model{Version: order.Version}), nil
	})
	c.logOutcome("model version", config.ModelsKey, revision, err)
	return Accepted{Version: revision.Version}, err
}

// PublishModelVersion takes a model's version to the register's owner; nil means that a majority has it.
func (c *Core) PublishModelVersion(ctx context.Context, order ModelVersionChange) error {
	_, err := c.operations.modelVersion.submit(ctx, order)
	return err
}
