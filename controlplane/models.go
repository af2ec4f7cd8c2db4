package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// ModelVersionChange publishes a model version for its replicas to load.
type ModelVersionChange struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"` // at least 1
}

// applyModelVersion publishes a model version. Versions only increase: one that is not above the current version is ignored.
func (c *Core) applyModelVersion(ctx context.Context, request ModelVersionChange) (Accepted, error) {
	if request.Model == "" || request.Version == 0 {
		return Accepted{}, apierror.New(apierror.Missing, "a model version needs the model and a version number of at least 1")
	}
	revision, err := c.owner.Change(ctx, config.ModelsKey, func(current register.Fields, _ uint64) (register.Fields, error) {
		var model config.Model
		if json.Unmarshal(current[request.Model], &model) == nil && model.Version >= request.Version {
			return nil, nil
		}
		return config.Field(request.Model, config.Model{Version: request.Version}), nil
	})
	c.logOutcome("model version", config.ModelsKey, revision, err)
	return Accepted{Version: revision.Version}, err
}

// PublishModelVersion sends a model version to the owner of its register; nil means that a majority has accepted it.
func (c *Core) PublishModelVersion(ctx context.Context, request ModelVersionChange) error {
	_, err := c.operations.modelVersion.submit(ctx, request)
	return err
}
