package controlplane

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
)

// announcedVersion is a version of a model that agents were told of, and since when it counts as published here.
type announcedVersion struct {
	version uint64
	since   time.Time
}

// publishModelVersions tells agents when a version of a model came to this disk, or when this process began that found it there. Agents go
// by the oldest age that any core tells, so a core that has restarted adds nothing. If all cores have restarted, the time for which old
// versions may be used counts from the first start among them, unless it was over before (docs/design.md §6.5).
func (c *Core) publishModelVersions(change register.Fields) {
	models, err := config.Load[config.Model](change)
	if err != nil {
		return
	}
	fields := register.Fields{}
	for name, model := range models {
		c.announceVersion(name, model.Version, fields)
	}
	if len(fields) > 0 {
		c.agentUpdates.PublishHint(router.ModelVersionsKey, fields, false)
	}
}

// announceVersion adds to the fields that agents are told of what is new of a model's published version. Of each model they are told of the
// newest versions only; the others stand for none that may be used.
func (c *Core) announceVersion(model string, version uint64, fields register.Fields) {
	superseded := c.supersededBy(model)
	c.versionsMu.Lock()
	defer c.versionsMu.Unlock()
	announced := c.announcedVersions[model]
	if len(announced) > 0 && announced[len(announced)-1].version >= version {
		return
	}
	announce := func(version uint64, age time.Duration) {
		fields[router.ModelVersionField(model, version)] = json.RawMessage(strconv.FormatInt(age.Milliseconds(), 10))
		announced = append(announced, announcedVersion{version: version, since: time.Now().Add(-age)})
	}
	if len(announced) == 0 && superseded > 0 { // recorded before this process began
		announce(superseded, c.options.OldVersionLimit)
	}
	if version > superseded {
		announce(version, 0)
	}
	if len(announced) > router.MaxModelVersions {
		fields[router.ModelVersionField(model, announced[0].version)] = nil
		announced = slices.Delete(announced, 0, 1)
	}
	c.announcedVersions[model] = announced
}

// supersededBy gives the version of a model below which no version may be used any more, as it was recorded; 0 if none was.
func (c *Core) supersededBy(model string) uint64 {
	if c.acceptor == nil {
		return 0 // still loading
	}
	recorded, err := config.Load[config.Model](c.acceptor.Read(config.SupersededKey).Fields)
	if err != nil {
		return 0 // unknown: the time counts anew
	}
	return recorded[model].Version
}

// recordSuperseded has a majority remember which published versions have stood for so long that none below them may be used: once for each
// version. Without it a restart of all cores would let them be used anew.
func (c *Core) recordSuperseded(ctx context.Context) {
	if c.options.OldVersionLimit == 0 || !c.isAssigned(config.SupersededKey) {
		return
	}
	due := register.Fields{}
	for model, version := range c.versionsPastLimit() {
		if c.supersededBy(model) < version {
			due.Apply(config.Field(model, config.Model{Version: version}))
		}
	}
	if len(due) == 0 || !c.supersededMu.TryLock() {
		return
	}
	go func() {
		defer c.supersededMu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
		defer cancel()
		revision, err := c.owner.Change(ctx, config.SupersededKey, func(present register.Fields, _ uint64) (register.Fields, error) {
			return raisedVersions(present, due)
		})
		c.logOutcome("end of old versions", config.SupersededKey, revision, err) // after a failure the next tick tries again
	}()
}

// versionsPastLimit gives, by model, the newest version that has stood for the time after which none below it may be used.
func (c *Core) versionsPastLimit() map[string]uint64 {
	c.versionsMu.Lock()
	defer c.versionsMu.Unlock()
	past := map[string]uint64{}
	for model, announced := range c.announcedVersions {
		for _, a := range announced {
			if time.Since(a.since) >= c.options.OldVersionLimit {
				past[model] = a.version
			}
		}
	}
	return past
}

// raisedVersions leaves of a change of versions those that are above the present ones.
func raisedVersions(present, change register.Fields) (register.Fields, error) {
	now, err := config.Load[config.Model](present)
	if err != nil {
		return nil, err
	}
	wanted, err := config.Load[config.Model](change)
	if err != nil {
		return nil, err
	}
	raised := register.Fields{}
	for model, version := range wanted {
		if version.Version > now[model].Version {
			raised[model] = change[model]
		}
	}
	return raised, nil
}
