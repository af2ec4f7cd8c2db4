package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"time"

	"asterridge/claim"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	coreCount = 4
	zones     = 5
	startWait = 2 * time.Minute

	operatorIP = "127.0.0.1" // who starts the fleet and changes its configuration
)

// childProcess is a child with its orders' way.
type childProcess struct {
	asked   *json.Encoder
	answers *json.Decoder
	started started
	end     func()
}

// starter begins a child that reads orders and writes answers.
type starter func() (in io.WriteCloser, out io.Reader, end func(), err error)

// startProcess runs a child as a process of its own, which ends with its input.
func startProcess() (io.WriteCloser, io.Reader, func(), error) {
	cmd := exec.Command(os.Args[0], "-child")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	end := func() {
		_ = in.Close()                                                            // its process is told to end by it
		late := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() }) // it may have ended
		_ = cmd.Wait()                                                            // what counts was reported
		late.Stop()
	}
	return in, out, end, cmd.Start()
}

func startChild(start starter, s setup) (*childProcess, error) {
	in, out, end, err := start()
	if err != nil {
		return nil, err
	}
	p := &childProcess{asked: json.NewEncoder(in), answers: json.NewDecoder(out), end: end}
	if err = p.asked.Encode(s); err == nil {
		err = p.answers.Decode(&p.started)
	}
	if err == nil && p.started.Failure != "" {
		err = fmt.Errorf("%s: %s", s.Role, p.started.Failure)
	}
	if err != nil {
		end()
		return nil, err
	}
	return p, nil
}

func (p *childProcess) do(o order) (sample, error) {
	var s sample
	if err := p.asked.Encode(o); err != nil {
		return s, err
	}
	err := p.answers.Decode(&s)
	if err == nil && s.Failure != "" {
		err = fmt.Errorf("%s: %s", o.Do, s.Failure)
	}
	return s, err
}

// size is what a hollow fleet is made up of.
type size struct {
	daemons, replicas, tenants, models int
	blocks                             int
	events                             float64
	platform                           bool
	polled                             bool // the replicas' reports are answered
	index                              int
}

// fleet is a hollow one: real cores, agents and routers, without callers and replicas.
type fleet struct {
	size    size
	folder  string
	wire    *rpc.Client
	cores   *childProcess
	agents  *childProcess
	proxies *childProcess
	hosts   hosts
	number  uint64
	reports net.Listener
}

// state is one moment of all three parts.
type state struct{ cores, agents, proxies sample }

func (o options) startFleet(ctx context.Context, s size) (f *fleet, err error) {
	start := o.start
	f = &fleet{size: s, hosts: o.hosts, wire: rpc.NewClient(fleetName, o.hosts(operatorIP))}
	defer func() {
		if err != nil {
			f.stop()
		}
	}()
	if f.folder, err = os.MkdirTemp("", "hollow-"); err != nil {
		return f, err
	}
	common := setup{Platform: s.platform, Replicas: s.replicas, Models: s.models, Blocks: s.blocks, Events: s.events, Index: s.index}
	made := common
	made.Role, made.Count, made.Folder = "cores", coreCount, f.folder
	if f.cores, err = startChild(start, made); err != nil {
		return f, err
	}
	if err = eventually(ctx, "the cores found a fleet", f.isFounded); err != nil {
		return f, err
	}
	if err = f.declare(ctx); err != nil {
		return f, err
	}
	made = common
	made.Role, made.Count, made.Cores = "agents", s.daemons, f.cores.started.Addresses
	if f.agents, err = startChild(start, made); err != nil {
		return f, err
	}
	made.Role, made.Agents = "proxies", f.agents.started.Locals
	if f.proxies, err = startChild(start, made); err != nil {
		return f, err
	}
	var now state
	if err = eventually(ctx, "all daemons are current", func() bool {
		var failure error
		now, failure = f.look("sample")
		return failure == nil && now.agents.Current == s.daemons && now.proxies.Current == s.daemons
	}); err != nil {
		err = fmt.Errorf("%w: %d agents and %d proxies are, %d times one ceased to be", err, now.agents.Current, now.proxies.Current, now.agents.Lost+now.proxies.Lost)
	}
	return f, err
}

func (f *fleet) stop() {
	for _, p := range []*childProcess{f.proxies, f.agents, f.cores} {
		if p != nil {
			p.end()
		}
	}
	if f.reports != nil {
		_ = f.reports.Close() // its process has ended
	}
	_ = os.RemoveAll(f.folder) // a temporary folder
}

func (f *fleet) look(do string) (now state, err error) {
	for _, one := range []struct {
		part *childProcess
		into *sample
	}{{f.cores, &now.cores}, {f.agents, &now.agents}, {f.proxies, &now.proxies}} {
		if err == nil {
			*one.into, err = one.part.do(order{Do: do})
		}
	}
	return now, err
}

func (f *fleet) isFounded() bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	for _, address := range f.cores.started.Addresses {
		h, err := rpc.Call[protocol.Hello](ctx, f.wire, address, "/core/hello", protocol.Hello{})
		if err != nil || len(h.Members) != coreCount {
			return false
		}
	}
	return true
}

// configOf is a configuration with so many tenants and models.
func configOf(s size) *config.Config {
	b := config.Empty()
	for i := range s.tenants {
		name := fmt.Sprintf("tenant-%03d", i+1)
		b.Tenants[name] = config.Tenant{Name: name, Weight: 1 + i%9, Backlog: 256, Scope: "tenant", Isolated: i%4 == 0, Keys: []string{config.HashKey(name)}}
	}
	for i := range s.models {
		name := modelName(i)
		b.Pools[name] = config.Pool{Name: name, Kind: "model", Models: []string{name}, UnitBytes: 1000, LinkMbps: 1000}
		if s.blocks > 0 || s.events > 0 {
			p := b.Pools[name]
			p.MaxReaders = 4
			b.Pools[name] = p
		}
		b.Paths[name] = config.Path{Name: name, Address: "/v1/" + name, Model: name, Pool: name, DeadlineMs: 30000, MaxBody: 1 << 20, Cost: 1, LatencyTargetMs: 2000}
	}
	return b
}

// declare has the first configuration and the replicas accepted.
func (f *fleet) declare(ctx context.Context) error {
	b := configOf(f.size)
	if err := f.change(ctx, b.Fields(), true); err != nil {
		return err
	}
	if f.size.platform {
		return nil // the cores list the replicas by themselves
	}
	address := "127.3.0.1:9"
	if f.size.polled {
		l, err := f.hosts.listen(3, 0)
		if err != nil {
			return err
		}
		f.reports, address = l, l.Addr().String()
		go serveReports(l)
	}
	var updates []map[string]any
	for i := range f.size.replicas {
		r := hollowReplica(i, f.size.models, address)
		updates = append(updates, map[string]any{"name": r.Name, "address": r.Address, "pool": r.Pool, "zone": r.Zone, "limit": r.Limit})
	}
	text, err := json.Marshal(map[string]any{"replicas": updates})
	if err != nil {
		return err
	}
	_, err = rpc.Call[controlplane.Accepted](ctx, f.wire, f.cores.started.Addresses[0], "/op/replicas", controlplane.ReplicasChange{Text: text})
	return err
}

// change declares the next numbered configuration.
func (f *fleet) change(ctx context.Context, items register.Fields, full bool) error {
	_, err := f.changed(ctx, items, full)
	return err
}

func (f *fleet) changed(ctx context.Context, items register.Fields, full bool) (uint64, error) {
	d := config.NumberedConfig{Number: f.number + 1, BasedOn: f.number, Full: full, Digest: fmt.Sprint(f.number + 1), Items: items, Texts: register.Fields{}}
	for name, raw := range items {
		if name != "hold" && name != "limits" {
			d.Texts[name] = raw
			d.Order = append(d.Order, name)
		}
	}
	var a controlplane.Accepted
	failure := eventually(ctx, "a configuration is accepted", func() bool { // the same one again is answered as it was the first time (§2.9)
		var err error
		a, err = rpc.Call[controlplane.Accepted](ctx, f.wire, f.cores.started.Addresses[int(f.number)%coreCount], "/op/declaration", d)
		return err == nil
	})
	if failure == nil {
		f.number++
	}
	return a.Version, failure
}

// changeTime changes one tenant and waits until every proxy uses it: how long until the yes, and until the last proxy.
func (f *fleet) changeTime(ctx context.Context) (accepted, everywhere time.Duration, err error) {
	name := "tenant-001"
	t := configOf(f.size).Tenants[name]
	t.Weight = 1 + int(f.number)%90
	began := time.Now()
	version, err := f.changed(ctx, config.Field("tenant/"+name, t), false)
	if err != nil {
		return 0, 0, err
	}
	accepted = time.Since(began)
	err = eventually(ctx, "all proxies use a change", func() bool {
		now, err := f.proxies.do(order{Do: "sample"})
		seen := now.InForce[version]
		everywhere = seen.Last.Sub(began)
		return err == nil && seen.Count >= f.size.daemons
	})
	return accepted, everywhere, err
}

// claims keeps so many claims on their way for a while: how many were taken a second, and how long one took.
func (f *fleet) claims(ctx context.Context, at int, length time.Duration) (perSecond float64, mean time.Duration, err error) {
	ctx, stop := context.WithTimeout(ctx, length+10*time.Second)
	defer stop()
	began, end := time.Now(), time.Now().Add(length)
	results := make(chan error, at)
	taken := make([]int, at)
	for i := range at {
		go func() {
			for time.Now().Before(end) {
				key := fmt.Sprintf("%d.%d.%d", i, taken[i], rand.Uint64())
				o := claim.Request{Claim: router.Claim{Tenant: "tenant-001", Key: key, Nonce: key, State: "running"}, Proxy: "proxy-001.x"}
				address := f.cores.started.Addresses[(i+taken[i])%coreCount]
				if _, err := rpc.Call[struct{}](ctx, f.wire, address, "/op/claim", o); err != nil {
					results <- err
					return
				}
				taken[i]++
			}
			results <- nil
		}()
	}
	sum := 0
	for range at {
		if failure := <-results; failure != nil {
			err = failure
		}
	}
	for _, n := range taken {
		sum += n
	}
	took := time.Since(began)
	return float64(sum) / took.Seconds(), took * time.Duration(at) / time.Duration(max(1, sum)), err
}

func eventually(ctx context.Context, what string, so func() bool) error {
	ctx, stop := context.WithTimeout(ctx, startWait)
	defer stop()
	for !so() {
		if rpc.Sleep(ctx, 50*time.Millisecond) != nil {
			return fmt.Errorf("not within %v: %s", startWait, what)
		}
	}
	return nil
}
