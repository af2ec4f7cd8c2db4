package agent

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rpc"
	"asterridge/watch"
)

// coresFile is the file with the addresses of the cores, read after a restart.
const coresFile = "cores"

// handleHello returns the members to a process that is looking for them.
func (a *Agent) handleHello(context.Context, protocol.Hello) (protocol.Hello, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return protocol.Hello{
		Name: a.host.Name, Role: agentRole, Address: a.host.Address, Zone: a.host.Zone, Members: a.members, MembersRecord: a.membersRecord,
	}, nil
}

// discoverCores asks the seed addresses for the members until some are known, and maintains a watch for each member. While no majority of
// the members answers, it keeps searching for a newer list: all of them may have been replaced while this agent was suspended or
// partitioned, or the seed that named them may have been outdated.
func (a *Agent) discoverCores(ctx context.Context) {
	if a.searchDue(time.Now()) {
		a.searchMembers(ctx)
	}
	a.watchCores(ctx)
}

// searchDue reports whether to search for members now, and records that a search begins.
func (a *Agent) searchDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.members) == 0 {
		return true
	}
	if now.Before(a.quorumFreshUntil()) {
		a.searchedAt = now // the first search follows the loss of the majority by an interval
		return false
	}
	if now.Sub(a.searchedAt) < protocol.SearchInterval {
		return false
	}
	a.searchedAt = now
	return true
}

// searchMembers asks all seed addresses concurrently, and adopts each list that is newer than the known one as soon as it is named. It
// returns once all have answered or protocol.HelloTimeout is over.
func (a *Agent) searchMembers(ctx context.Context) {
	triedUnversioned, answers, addresses := false, 0, a.seedAddresses()
	defer func() { a.noteSearch(len(addresses), answers) }()
	for hello := range rpc.CallAll[protocol.Hello](ctx, a.rpc, addresses, "/core/hello", protocol.Hello{}, protocol.HelloTimeout) {
		answers++
		if a.adoptMembers(hello, &triedUnversioned) {
			a.watchCores(ctx)
		}
	}
}

// noteSearch records how a search for members went.
func (a *Agent) noteSearch(asked, answers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.searchAsked, a.searchAnswers = asked, answers
	a.evaluateCurrency()
}

// adoptMembers takes over the members that a hello names if none are known, or if the hello's list is newer than the known one. Restarted
// cores and agents of earlier builds name their lists without a version. If neither list has one, which is newer can't be told, and the
// other list is tried: once in each search, which triedUnversioned records.
func (a *Agent) adoptMembers(hello protocol.Hello, triedUnversioned *bool) (adopted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(hello.Members) == 0 {
		return false
	}
	version, known := hello.MembersRecord.Version(), a.membersRecord.Version()
	if version > known {
		if len(a.members) > 0 {
			a.host.Log.Warn().Uint64("known_version", known).Uint64("version", version).Msg("cores were replaced while this agent did not hear them")
		}
		a.applyMembership(hello.MembersRecord)
		return true
	}
	if version > 0 || known > 0 || *triedUnversioned || slices.Equal(hello.Members, a.members) {
		return false
	}
	*triedUnversioned = true
	a.members = hello.Members
	return true
}

// applyMembership replaces the members by those of a committed list, unless a newer list is known. The caller holds a.mu.
func (a *Agent) applyMembership(record *membership.Record) {
	if record.Version() < a.membersRecord.Version() {
		return
	}
	list := membership.Decode(record.Fields)
	a.members, a.previousMembers, a.membersRecord = list.Members, list.Previous, record
	a.recordCores()
}

// seedAddresses returns the addresses to ask for the members: the configured seeds, some of the nodes known from gossip, and the cores
// that an earlier run of this agent recorded on disk.
func (a *Agent) seedAddresses() []string {
	addresses := slices.Concat(a.host.Seeds, a.detector.SampleAddresses(protocol.SearchSample), a.recordedCores())
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// recordedCores returns the addresses of the cores as last recorded on disk; none if there is no disk or no readable record.
func (a *Agent) recordedCores() (recorded []string) {
	if a.disk == nil {
		return nil
	}
	raw, err := a.disk.Get(protocol.IdentityFolder, coresFile)
	if err != nil || json.Unmarshal(raw, &recorded) != nil {
		return nil
	}
	return recorded
}

// recordCores stores the addresses of the cores on disk in the background. The caller holds a.mu.
func (a *Agent) recordCores() {
	if a.disk == nil {
		return
	}
	var addresses []string
	for _, m := range a.members {
		addresses = append(addresses, m.Address)
	}
	raw, _ := json.Marshal(addresses) // encoding strings cannot fail
	go func() {
		if err := a.disk.Put(protocol.IdentityFolder, coresFile, raw); err != nil {
			a.host.Log.Warn().Err(err).Msg("addresses of the cores not recorded on disk")
		}
	}()
}

// watchCores maintains one watch for each member of the active and the previous list, and stops the watches of all others.
func (a *Agent) watchCores(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, core := range a.cores {
		if !containsAddress(a.members, address) && !containsAddress(a.previousMembers, address) {
			core.Stop()
			delete(a.cores, address)
		}
	}
	for _, m := range slices.Concat(a.members, a.previousMembers) {
		if a.cores[m.Address] == nil {
			core := a.newCoreWatch(ctx, m.Address)
			a.cores[m.Address] = core
			go core.Run(ctx)
		}
	}
}

func (a *Agent) newCoreWatch(ctx context.Context, address string) *watch.Client {
	return watch.NewClient(watch.ClientOptions{
		RPC:     a.rpc,
		Address: address,
		Path:    "/core/pull",
		Wait:    a.options.WatchWait,
		Request: a.watchRequest,
		OnUpdate: func(core *watch.Client, response watch.Response) { // registers are handled by applyUpdates
			protocol.MergeThrottles(a.throttles, response)
			a.forwardCached(core, response)
			a.forwardModelVersions(response)
		},
		OnResponse: func(*watch.Client, time.Time, time.Duration) { a.applyUpdates(ctx) },
	})
}

func containsAddress(members []config.Member, address string) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return m.Address == address })
}

// watchRequest returns a watch request to a core, with the status of this agent and of its proxy.
func (a *Agent) watchRequest() watch.Request {
	status := protocol.AgentStatus{Address: a.host.Address, Zone: a.host.Zone, Current: a.remaining() > 0}
	request := watch.Request{Name: a.host.Name, Role: agentRole}
	if proxy, connected := a.proxyStatus(membership.LivenessTimeout); connected && proxy.Proxy != "" {
		status.Proxy, request.Applied = &proxy.Status, proxy.applied
	}
	a.mu.Lock()
	status.NotCurrentReason = a.notCurrentReason
	a.mu.Unlock()
	request.Status, _ = json.Marshal(status) // encoding a plain struct cannot fail
	return request
}
