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

// announcedVersion is a model version announced to agents, and the time from which this core counts its age.
type announcedVersion struct {
	version uint64
	since   time.Time
}

// publishModelVersions announces to agents how long ago a model version reached this disk, counted at the earliest from the start of
// this process. Agents use the oldest age reported by any core, so a restarted core changes nothing. If all cores have restarted, the
// time for which old versions may be used is counted from the first of these starts, unless it was recorded as over (docs/design.md
// §6.5).
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

// announceVersion adds a model's newly published version to the fields announced to agents. Only the newest versions of each
// model are announced; any other version may not be used.
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
	if len(announced) == 0 && superseded > 0 { // recorded before this process started
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

// supersededBy returns the recorded version of a model below which no version may be used any more; 0 if none is recorded.
func (c *Core) supersededBy(model string) uint64 {
	if c.acceptor == nil {
		return 0 // still loading
	}
	recorded, err := config.Load[config.Model](c.acceptor.Read(config.SupersededKey).Fields)
	if err != nil {
		return 0 // unknown: the age is counted from zero
	}
	return recorded[model].Version
}

// recordSuperseded has a majority record, once per version, which published versions have been out for so long that no older version
// may be used. Without the record, a restart of all cores would allow the older versions again.
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
		revision, err := c.owner.Change(ctx, config.SupersededKey, func(current register.Fields, _ uint64) (register.Fields, error) {
			return raisedVersions(current, due)
		})
		c.logOutcome("end of old versions", config.SupersededKey, revision, err) // a failure is retried at the next tick
	}()
}

// versionsPastLimit returns, by model, the newest version whose age has reached the limit after which no older version may be used.
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

// raisedVersions returns the part of a change that raises versions above the current ones.
func raisedVersions(current, change register.Fields) (register.Fields, error) {
	currentVersions, err := config.Load[config.Model](current)
	if err != nil {
		return nil, err
	}
	wanted, err := config.Load[config.Model](change)
	if err != nil {
		return nil, err
	}
	raised := register.Fields{}
	for model, version := range wanted {
		if version.Version > currentVersions[model].Version {
			raised[model] = change[model]
		}
	}
	return raised, nil
}
