package register_test

import (
	"context"
	"strings"
	"testing"

	"asterridge/disk"
	"asterridge/register"
	"asterridge/sim"
)

// hidesAccepted promises truthfully, and tells of older content than it has accepted: its asker adopts not the highest.
type hidesAccepted struct{ register.Peer }

func (h hidesAccepted) Prepare(ctx context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	record, err := h.Peer.Prepare(ctx, key, epoch, has)
	record.Revision, record.Committed, record.Fields = register.Revision{}, register.Revision{}, nil
	return record, err
}

// acceptsNothing says yes to changes that it never writes.
type acceptsNothing struct{ register.Peer }

func (acceptsNothing) Accept(context.Context, register.Change) error { return nil }

// confirmsAll stands by every epoch without a look: its askers answer out of old copies.
type confirmsAll struct{ register.Peer }

func (confirmsAll) Confirm(context.Context, string, uint64) error { return nil }

// promisesAll promises each epoch without keeping to it: it asks its acceptor for nothing.
type promisesAll struct{ register.Peer }

func (promisesAll) Prepare(_ context.Context, _ string, epoch uint64, _ register.Revision) (register.Record, error) {
	return register.Record{Promised: epoch}, nil
}

// forget drops files of a kind while a node is down: p for promises, v for versions.
func forget(kind string) func(d *sim.Disk) {
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
	names, _ := d.List(folder) // a disk in memory
	return names
}

// alone gives an owner itself for a majority.
func alone(i int, all register.Peers) register.Peers { return all[i : i+1] }

// onlyFirstAlone does so at node 0 alone.
func onlyFirstAlone(i int, all register.Peers) register.Peers {
	if i == 0 {
		return alone(i, all)
	}
	return all
}

var plants = []struct {
	name  string
	wants string // part of the finding
	scenario
}{
	{"an acceptor forgets its promises at a restart", "", scenario{size: 3, orders: race, notes: lost, faults: budget{restarts: 2},
		plant: &plant{restart: forget("p")}}},
	{"a disk loses synced versions", "knows nothing of it", scenario{size: 3, orders: race, notes: lost, faults: budget{restarts: 1},
		plant: &plant{restart: forget("v")}}},
	{"an owner says yes with a minority", "knows nothing of it", scenario{size: 3, orders: race, notes: lost, plant: &plant{quorum: alone}}},
	{"a read from a minority", "at the earliest", scenario{size: 3, orders: []call{declare(1, 1, 0, "a"), read(0)}, inTurn: true, notes: prompt,
		plant: &plant{quorum: onlyFirstAlone}}},
	{"an acceptor says yes without writing", "knows nothing of it", scenario{size: 3, orders: race[:1], notes: lost,
		plant: &plant{acceptor: func(to int, real register.Peer) register.Peer { return acceptsNothing{real} }}}},
	{"the highest accepted content is not adopted", "", scenario{size: 3, orders: race, notes: lost,
		plant: &plant{acceptor: func(to int, real register.Peer) register.Peer { return hidesAccepted{real} }}}},
	{"an acceptor gives promises that it does not keep", "", scenario{size: 3, orders: race, notes: lost,
		plant: &plant{acceptor: func(to int, real register.Peer) register.Peer { return promisesAll{real} }}}},
	{"a refusal out of an old copy", "at the earliest", scenario{size: 3, orders: handover, inTurn: true, notes: prompt,
		plant: &plant{acceptor: func(to int, real register.Peer) register.Peer { return confirmsAll{real} }}}},
	{"a read out of an old copy", "at the earliest", scenario{size: 3, orders: []call{declare(0, 1, 0, "a"), declare(1, 2, 1, "a"), read(0)}, inTurn: true, notes: prompt,
		plant: &plant{acceptor: func(to int, real register.Peer) register.Peer { return confirmsAll{real} }}}},
	{"a yes to what stood already, out of an old copy", "", scenario{size: 3, orders: []call{declare(0, 2, 1, "a"), declare(1, 1, 0, "a"), read(0)}, inTurn: true, notes: prompt,
		plant: &plant{acceptor: func(to int, real register.Peer) register.Peer { return confirmsAll{real} }}}},
	{"two owners under one epoch", "two contents", scenario{size: 3, orders: race, notes: lost,
		plant: &plant{number: func(int) uint32 { return 1 }, acceptor: func(to int, real register.Peer) register.Peer { return promisesAll{real} }}}},
}

// The test of the test: each fault that is wrapped round the real code is found, by exploration.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			e := explore(t, p.scenario, 20000)
			t.Log(e, e.fault, schedule(e.path))
			if e.fault == nil || !strings.Contains(e.fault.Error(), p.wants) {
				t.Errorf("found %v, wants %q", e.fault, p.wants)
			}
		})
	}
}
