package register_test

import (
	"context"
	"strings"
	"testing"

	"asterridge/disk"
	"asterridge/register"
	"asterridge/sim"
)

// hidesAccepted promises correctly, but hides what it has accepted, so that the new owner doesn't adopt the highest accepted content.
type hidesAccepted struct{ register.Peer }

func (h hidesAccepted) Prepare(ctx context.Context, key string, epoch uint64, known register.Revision) (register.Record, error) {
	record, err := h.Peer.Prepare(ctx, key, epoch, known)
	record.Revision, record.Committed, record.Fields = register.Revision{}, register.Revision{}, nil
	return record, err
}

// acceptsNothing acknowledges changes that it never stores.
type acceptsNothing struct{ register.Peer }

func (acceptsNothing) Accept(context.Context, register.Change) error { return nil }

// confirmsAll confirms every epoch without checking it, so that superseded owners answer from outdated copies.
type confirmsAll struct{ register.Peer }

func (confirmsAll) Confirm(context.Context, string, uint64) error { return nil }

// promisesAll promises every epoch without passing the prepare to its acceptor, so that it doesn't keep its promises.
type promisesAll struct{ register.Peer }

func (promisesAll) Prepare(_ context.Context, _ string, epoch uint64, _ register.Revision) (register.Record, error) {
	return register.Record{Promised: epoch}, nil
}

// dropFilesOnRestart removes the files with a name prefix while a node is down: p for promises, v for versions.
func dropFilesOnRestart(kind string) func(d *sim.Disk) {
	return func(d *sim.Disk) {
		opened := d.Open()
		for _, folder := range list(opened, "") {
			for _, name := range list(opened, folder) {
				if strings.HasPrefix(name, kind) {
					_ = opened.Drop(folder, name)
				}
			}
		}
	}
}

func list(d disk.Disk, folder string) []string {
	names, _ := d.List(folder) // an in-memory disk doesn't fail
	return names
}

// onlySelf makes an owner its own majority.
func onlySelf(i int, all register.Peers) register.Peers { return all[i : i+1] }

// firstNodeOnlySelf makes only node 0 its own majority.
func firstNodeOnlySelf(i int, all register.Peers) register.Peers {
	if i == 0 {
		return onlySelf(i, all)
	}
	return all
}

var injectedFaults = []struct {
	name     string
	expected string // part of the reported violation
	scenario
}{
	{"an acceptor forgets its promises at a restart", "", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		faults:   faultBudget{restarts: 2},
		injected: &injectedFault{onRestart: dropFilesOnRestart("p")}}},
	{"a disk loses synced versions", "is missing in majority", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		faults:   faultBudget{restarts: 1},
		injected: &injectedFault{onRestart: dropFilesOnRestart("v")}}},
	{"an owner acknowledges with a minority", "is missing in majority", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		injected: &injectedFault{selectPeers: onlySelf}}},
	{"a read from a minority", "at the earliest", scenario{size: 3, requests: []request{writeRequest(1, 1, 0, "a"), readRequest(0)},
		sequential: true, commitDelivery: commitsImmediate,
		injected: &injectedFault{selectPeers: firstNodeOnlySelf}}},
	{"an acceptor acknowledges without storing", "is missing in majority", scenario{size: 3, requests: concurrentWrites[:1], commitDelivery: commitsLost,
		injected: &injectedFault{wrapPeer: func(to int, real register.Peer) register.Peer { return acceptsNothing{real} }}}},
	{"the highest accepted content is not adopted", "", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		injected: &injectedFault{wrapPeer: func(to int, real register.Peer) register.Peer { return hidesAccepted{real} }}}},
	{"an acceptor does not keep its promises", "", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		injected: &injectedFault{wrapPeer: func(to int, real register.Peer) register.Peer { return promisesAll{real} }}}},
	{"a refusal from an outdated copy", "at the earliest", scenario{size: 3, requests: handover, sequential: true, commitDelivery: commitsImmediate,
		injected: &injectedFault{wrapPeer: func(to int, real register.Peer) register.Peer { return confirmsAll{real} }}}},
	{"a read from an outdated copy", "at the earliest", scenario{size: 3, requests: []request{writeRequest(0, 1, 0, "a"), writeRequest(1, 2, 1, "a"), readRequest(0)}, sequential: true, commitDelivery: commitsImmediate,
		injected: &injectedFault{wrapPeer: func(to int, real register.Peer) register.Peer { return confirmsAll{real} }}}},
	{"an acknowledgement of present content from an outdated copy", "", scenario{size: 3, requests: []request{writeRequest(0, 2, 1, "a"), writeRequest(1, 1, 0, "a"), readRequest(0)}, sequential: true, commitDelivery: commitsImmediate,
		injected: &injectedFault{wrapPeer: func(to int, real register.Peer) register.Peer { return confirmsAll{real} }}}},
	{"two owners under one epoch", "two contents", scenario{size: 3, requests: concurrentWrites, commitDelivery: commitsLost,
		injected: &injectedFault{memberID: func(int) uint32 { return 1 }, wrapPeer: func(to int, real register.Peer) register.Peer { return promisesAll{real} }}}},
}

// Checks that exploration detects each fault that is injected around the code under test.
func TestModelFindsInjectedFaults(t *testing.T) {
	for _, p := range injectedFaults {
		t.Run(p.name, func(t *testing.T) {
			e := explore(t, p.scenario, 20000)
			t.Log(e, e.fault, formatSteps(e.path))
			if e.fault == nil || !strings.Contains(e.fault.Error(), p.expected) {
				t.Errorf("violation %v, expected %q", e.fault, p.expected)
			}
		})
	}
}
