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
	return protocol.Hello{Name: a.host.Name, Role: agentRole, Address: a.host.Address, Zone: a.host.Zone, Members: a.members}, nil
}

// discoverCores asks the seed addresses for the members until some are known, and then maintains a watch for each member.
func (a *Agent) discoverCores(ctx context.Context) {
	a.mu.Lock()
	known := a.members
	a.mu.Unlock()
	if len(known) > 0 {
		a.watchCores(ctx, known)
		return
	}
	for _, seed := range a.seedAddresses() {
		if hello, err := a.sayHello(ctx, seed); err == nil && len(hello.Members) > 0 {
			a.watchCores(ctx, hello.Members)
			return
		}
	}
}

func (a *Agent) sayHello(ctx context.Context, address string) (protocol.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, protocol.HelloTimeout)
	defer cancel()
	return rpc.Call[protocol.Hello](ctx, a.rpc, address, "/core/hello", protocol.Hello{})
}

// seedAddresses returns the addresses to ask for the members: the configured seeds, the nodes known from gossip, and the cores that an
// earlier run of this agent recorded on disk.
func (a *Agent) seedAddresses() []string {
	addresses := slices.Clone(a.host.Seeds)
	for _, node := range a.detector.Nodes()[1:] {
		addresses = append(addresses, node.Address)
	}
	if a.disk == nil {
		return addresses
	}
	var recorded []string
	raw, err := a.disk.Get(protocol.IdentityFolder, coresFile)
	if err == nil && json.Unmarshal(raw, &recorded) == nil {
		addresses = append(addresses, recorded...)
	}
	return addresses
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
func (a *Agent) watchCores(ctx context.Context, members []config.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.members) == 0 {
		a.members = members
	}
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
