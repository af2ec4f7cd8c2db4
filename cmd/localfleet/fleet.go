package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/rpc"
)

type fleet struct {
	options   options
	rpc       *rpc.Client
	processes map[string]*process
	started   []string
	cores     []string // addresses, of relays
	listens   []string // the cores' own
	proxies   []string
	admins    []string
	replicas  map[string]string // name → address
	keys      []fake.Client
	relays    *relays
	agents    []string // addresses, of relays
	tenants   []string
	gone      map[int]bool // cores that were replaced for good
	closing   bool         // a closing fault ends the run
	mu        sync.Mutex
	factLog   fake.FactLog
	probed    []fake.Exchange
	rest      []fake.State
	figures   []string
}

const fleetName = "loopback"

// place returns a free port on a loopback address of its own for each machine.
func place(machine int) (string, error) {
	ip := fmt.Sprintf("127.0.%d.%d", 1+machine/200, 1+machine%200)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *fleet) places(machine, count int) ([]string, error) {
	var all []string
	for range count {
		at, err := place(machine)
		if err != nil {
			return nil, err
		}
		all = append(all, at)
	}
	return all, nil
}

// start starts cores, replicas, agents and proxies, and applies the deployment's configuration.
func start(ctx context.Context, o options) (*fleet, error) {
	f := &fleet{options: o, rpc: rpc.NewClient(fleetName, &rpc.TCP{}), processes: map[string]*process{}, replicas: map[string]string{}, relays: newRelays(), gone: map[int]bool{}}
	for i := range 4 {
		if err := f.placeCore(i); err != nil {
			return f, err
		}
	}
	for i := range f.cores {
		if err := f.run(fmt.Sprintf("core-%d", i+1), "core", f.coreArgs(i)...); err != nil {
			return f, err
		}
	}
	if err := eventually(ctx, 15*time.Second, "the cores found a fleet", f.isFounded); err != nil {
		return f, err
	}
	if err := f.startReplicas(); err != nil {
		return f, err
	}
	for i := range o.proxies {
		if err := f.startPair(i); err != nil {
			return f, err
		}
	}
	if err := f.configure(ctx); err != nil {
		return f, err
	}
	err := eventually(ctx, 15*time.Second, "all proxies have the configuration and are ready", func() bool { return f.areReady(1) })
	return f, err
}

// placeCore gives a core its address, behind a relay.
func (f *fleet) placeCore(machine int) error {
	listen, err := place(machine)
	if err != nil {
		return err
	}
	at, err := f.relays.open(machine, listen)
	f.cores, f.listens = append(f.cores, at), append(f.listens, listen)
	return err
}

func (f *fleet) coreArgs(i int) []string {
	var seeds []string // the three before it, or the first others
	for n := range f.cores {
		if j := (i + 1 + n) % len(f.cores); j != i && len(seeds) < 3 {
			seeds = append(seeds, f.cores[j])
		}
	}
	return []string{"-name", fmt.Sprintf("core-%d", i+1), "-zone", fmt.Sprintf("zone-%d", i+1), "-fleet", fleetName, "-address", f.cores[i], "-listen", f.listens[i],
		"-seeds", strings.Join(seeds, ","), "-data", filepath.Join(f.options.data, fmt.Sprintf("core-%d", i+1))}
}

func (f *fleet) startReplicas() error {
	o := f.options
	store, err := place(99)
	if err != nil {
		return err
	}
	f.replicas["store-1"] = store
	if err := f.run("store-1", "fakebackend", "replica", "-name", "store-1", "-address", store, "-kind", "store", "-blocks", "20000"); err != nil {
		return err
	}
	for i := range o.replicas + 1 {
		name, kind := fmt.Sprintf("deep-%d", i+1-o.replicas/3), "model"
		switch {
		case i == o.replicas:
			name, kind = "web-1", "web"
		case i < o.replicas/3:
			name = fmt.Sprintf("quick-%d", i+1)
		}
		if err := f.startReplica(name, kind, 100+i); err != nil {
			return err
		}
	}
	return nil
}

// startReplica starts a fake replica behind a relay.
func (f *fleet) startReplica(name, kind string, machine int) error {
	listen, err := place(machine)
	if err != nil {
		return err
	}
	if f.replicas[name], err = f.relays.open(machine, listen); err != nil {
		return err
	}
	return f.run(name, "fakebackend", "replica", "-name", name, "-address", listen, "-kind", kind, "-store", f.replicas["store-1"], "-ledger", f.path(name+".ledger"))
}

// startPair starts a machine's agent and proxy.
func (f *fleet) startPair(i int) error {
	at, err := f.places(4+i, 4)
	if err != nil {
		return err
	}
	zone := fmt.Sprintf("zone-%d", i%4+1)
	outer, err := f.relays.open(4+i, at[0])
	if err != nil {
		return err
	}
	if err := f.run(fmt.Sprintf("agent-%d", i+1), "agent", "-name", fmt.Sprintf("agent-%d", i+1), "-zone", zone, "-fleet", fleetName,
		"-address", outer, "-listen", at[0], "-local", at[1], "-seeds", strings.Join(f.cores[1:], ",")); err != nil {
		return err
	}
	f.agents = append(f.agents, outer)
	f.proxies, f.admins = append(f.proxies, at[2]), append(f.admins, at[3])
	return f.run(fmt.Sprintf("proxy-%d", i+1), "proxy", "-name", fmt.Sprintf("proxy-%d", i+1), "-zone", zone, "-fleet", fleetName,
		"-address", at[2], "-agent", at[1], "-admin", at[3], "-grace_ms", "3000", "-index", strconv.Itoa(f.options.index))
}

// configure applies the fleet's configuration, keys and replicas.
func (f *fleet) configure(ctx context.Context) error {
	text, err := os.ReadFile(filepath.Join(f.options.examples, f.options.deployment, "config.json"))
	if err != nil {
		return err
	}
	if _, err := f.order(ctx, config.Key, controlplane.ConfigChange{Text: text}); err != nil {
		return err
	}
	if f.options.observe {
		if _, err := f.order(ctx, config.Key, controlplane.ConfigChange{Text: []byte(`{"hold":{"observe":true}}`), Partial: true}); err != nil {
			return err
		}
	}
	plan, err := config.Parse(text, nil, false)
	if err != nil {
		return err
	}
	for name, t := range plan.Tenants {
		f.tenants = append(f.tenants, name)
		f.keys = append(f.keys, fake.Client{Tenant: name, Access: fmt.Sprintf("%s-key-%d", name, f.options.seed), Weight: 3 * t.Weight})
	}
	sort.Strings(f.tenants)
	sort.Slice(f.keys, func(i, j int) bool { return f.keys[i].Tenant < f.keys[j].Tenant })
	for _, name := range f.tenants {
		f.keys = append(f.keys, fake.Client{Tenant: name, Access: f.spare(name), Weight: 1})
	}
	for _, c := range f.keys {
		if _, err := f.order(ctx, "keys", controlplane.AccessKeyChange{Tenant: c.Tenant, Hash: config.HashKey(c.Access)}); err != nil {
			return err
		}
	}
	var updates []config.Replica
	for name, at := range f.replicas {
		updates = append(updates, config.Replica{Name: name, Address: at, Pool: strings.SplitN(name, "-", 2)[0], Zone: "zone-1", State: "present", Limit: 8})
	}
	raw, _ := json.Marshal(map[string]any{"replicas": updates})
	if err := os.WriteFile(f.path("replicas.json"), raw, 0o644); err != nil {
		return err
	}
	err = f.run("platform", "fakebackend", "platform", "-name", "platform", "-fleet", fleetName, "-cores", strings.Join(f.cores, ","), "-file", f.path("replicas.json"))
	if err != nil {
		return err
	}
	return eventually(ctx, 10*time.Second, "the platform has told of the replicas", func() bool {
		for _, row := range f.query("owners") {
			if row["key"] == config.ReplicasKey {
				return row["settled"] == true
			}
		}
		return false
	})
}

// spare returns a tenant's second key, which faults may revoke.
func (f *fleet) spare(tenant string) string {
	return fmt.Sprintf("%s-spare-%d", tenant, f.options.seed)
}

func (f *fleet) path(name string) string { return filepath.Join(f.options.data, name) }

// play runs the clients and, meanwhile, the script.
func (f *fleet) play(ctx context.Context, s script) error {
	var keys []string
	for _, c := range f.keys {
		keys = append(keys, fmt.Sprintf("%s=%s=%d", c.Tenant, c.Access, c.Weight))
	}
	err := f.run("callers", "fakebackend", "callers", "-name", "callers", "-proxies", strings.Join(f.proxies, ","), "-keys", strings.Join(keys, ","),
		"-count", strconv.Itoa(f.options.count), "-rate", strconv.Itoa(f.options.rate), "-seed", strconv.FormatUint(f.options.seed, 10),
		"-ledger", f.path("callers.ledger"))
	if err != nil {
		return err
	}
	if err := s.play(ctx, f); err != nil {
		return err
	}
	f.probe(ctx)
	limit := time.After(time.Duration(f.options.count/f.options.rate+90) * time.Second)
	select {
	case <-f.processes["callers"].ended:
		f.noteCounts()
		return f.comeToRest(ctx)
	case <-ctx.Done():
		return ctx.Err()
	case <-limit:
		return fmt.Errorf("the callers did not come to an end")
	}
}
