//go:build review

package testbed

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	scenarios["outage"] = scenario{site: mirkovicGrown, models: []string{"m0"}, play: playOutage}
}

// Bounds of the site mirkovic-arhiv-grown.
const (
	catchUp     = 6 * time.Second
	seedLag     = 3 * time.Second
	recoverTime = 15 * time.Second
)

// mirkovicGrown is the site mirkovic-arhiv-grown, with fewer edge machines and replicas.
var mirkovicGrown = deployment{cores: 5, tolerance: 2, bounds: map[string]any{"contact_ms": 4000, "ack_ms": 5000, "catch_up_s": catchUp.Seconds(), "drain_ms": 4000,
	"config_apply_ms": 2500, "stretch_ms": 6000, "retry_slack": 194, "recover_s": recoverTime.Seconds(), "transit_ms": 200}}

// playOutage replaces all core machines but the last, in order and one after the other, while the last one is down. That one returns with its
// disk. At the end all processes are killed, and start again. Without trouble the last machine is not down.
func playOutage(f *fleet, trouble bool) (broken []string, err error) {
	tenants := []map[string]any{tenant("t1", false, "key-one")}
	if _, err := f.order("/Config.Replace", 0, configuration(1, []string{"m0"}, []map[string]any{route("r1")}, tenants)); err != nil {
		return nil, err
	}
	if err := f.awaitService("/r1/x", "key-one", "m0"); err != nil {
		return nil, err
	}
	time.Sleep(catchUp) // all cores have joined
	old := f.cores()
	last := len(old) - 1
	returning := old[last]
	if trouble {
		f.removeMachine(returning) // from the operator's list
		f.end(returning, syscall.SIGKILL)
		time.Sleep(seedLag)
	}
	for n, m := range old[:last] {
		if err := f.replaceCore(m, n); err != nil {
			return nil, err
		}
	}
	if trouble {
		f.updateSeeds()
		if err := f.startMachine(returning); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, returning)
	}
	time.Sleep(catchUp + seedLag)
	f.updateSeeds()
	before, sent := f.serveRound()
	f.record.write("before the closing fault: %d of %d served", before, sent)
	if 4*before < sent {
		return nil, fmt.Errorf("only %d of %d requests were served before the closing fault", before, sent)
	}
	change := map[string]any{"generation": 2, "upserts": map[string]any{"route_table": []map[string]any{route("r2")}}, "removals": map[string]any{}}
	if _, err := f.order("/Config.Amend", 1, change); err != nil {
		return nil, err
	}
	if err := f.killAll(); err != nil {
		return nil, err
	}
	time.Sleep(recoverTime)
	after, sent := f.serveRound()
	f.record.write("later than %v after the machines are back: %d of %d served", recoverTime, after, sent)
	if 4*after < sent {
		broken = append(broken, fmt.Sprintf("%d of %d requests sent later than %v after the machines were back were served; before the closing fault %d", after, sent, recoverTime, before))
	}
	return broken, nil
}

// updateSeeds lets settings name the first three machines of the operator's list from now on.
func (f *fleet) updateSeeds() {
	f.seeds = nil
	for _, m := range f.cores()[:3] {
		f.seeds = append(f.seeds, m.control())
	}
}

// replaceCore starts an empty core machine at another address in the same zone, gives it time to catch up, and then stops the other one.
func (f *fleet) replaceCore(m machine, n int) error {
	f.updateSeeds()
	next := f.addMachine(fmt.Sprintf("core-%d", f.site.cores+n+1), fmt.Sprintf("%s.1.%d", f.network, f.site.cores+n+1), m.zone, true)
	if err := f.startMachine(next); err != nil {
		return err
	}
	time.Sleep(catchUp + time.Second)
	f.end(m, syscall.SIGTERM)
	f.removeMachine(m)
	time.Sleep(time.Second)
	return nil
}

// killAll kills all processes at the same moment; they are back after a second.
func (f *fleet) killAll() error {
	for _, m := range f.machines {
		f.end(m, syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, m := range f.machines {
		if err := f.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

// serveRound sends requests to all edge machines, and counts those that were served.
func (f *fleet) serveRound() (served, sent int) {
	const perEdge = 10
	for n := range perEdge {
		for _, m := range f.edges() {
			sent++
			if f.send(m, "/r1/x", "key-one", "m0", fmt.Sprintf("aa01:410,b%d:250", n)).served() {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return served, sent
}
