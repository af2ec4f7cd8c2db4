package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are alike on all machines.
const (
	controlPort = 8683
	frontPort   = 8689
	readyPort   = 8687
	replicaPort = 8680
	listPort    = 8688
	firstPort   = 7360
)

const (
	// startLimit is how long a fleet may take until it serves.
	startLimit = 30 * time.Second
	// restartDelay is after which a process that has ended is started again.
	restartDelay = 200 * time.Millisecond
	// maxSeeds is how many cores a process is told of.
	maxSeeds = 3
)

// Machine is one machine: an address on loopback, and the processes that run there.
type Machine struct {
	Name, Zone, IP string
	IsCore         bool
	FirstBoot      bool
	Folder         string   // of its disk and of its settings
	Seeds          []string // control addresses of cores
}

// Control is where a core machine is reached by operators and daemons.
func (m Machine) Control() string { return m.port(controlPort) }

// Front is where clients reach an edge machine.
func (m Machine) Front() string { return m.port(frontPort) }

// Ready is where an edge machine is asked whether it is ready.
func (m Machine) Ready() string { return m.port(readyPort) }

// Internal is the nth of the addresses that the machine keeps for the fleet's own use.
func (m Machine) Internal(nth int) string { return m.port(firstPort + nth) }

func (m Machine) port(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Data is the folder of the machine's disk.
func (m Machine) Data() string { return filepath.Join(m.Folder, "data") }

// System is how one build of the fleet is started and spoken to.
type System interface {
	// Speech is how clients and replicas speak.
	Speech() Speech
	// Prepare writes what a machine's processes are told, and gives them in the order of their start.
	Prepare(m Machine, f *Fleet) ([]Command, error)
	// ReadyURL is where the readiness of a machine is asked for.
	ReadyURL(m Machine) string
	// List serves the list of replicas to the cores, or tells them of it, until the context ends.
	List(ctx context.Context, f *Fleet)
	// Submit has a core take a change of the configuration; the first one is built on 0.
	Submit(ctx context.Context, core Machine, c Change) Verdict
	// Read asks a core for the number of the newest change.
	Read(ctx context.Context, core Machine) (number int, err error)
	// Contract is what the system promises beyond what all do.
	Contract() Contract
}

// Contract is what a system promises beyond what all systems do.
type Contract struct {
	// CurrentReads: a read of the configuration is answered by the newest, or not at all.
	CurrentReads bool
	// AutoMembership: a core with an empty disk becomes a member by itself.
	AutoMembership bool
	// ConfigApply is the time after which an accepted change is read everywhere.
	ConfigApply time.Duration
}

// Size is how large a fleet is.
type Size struct {
	Cores, Edges, Replicas int
	// Grace is the time from SIGTERM to the end of a process.
	Grace time.Duration
}

// Fleet is a fleet of processes on loopback.
type Fleet struct {
	Size     Size
	System   System
	Machines []Machine // the cores first
	Replicas []*Replica
	Ledger   *Ledger
	// ListListener is where the list of replicas may be served.
	ListListener net.Listener

	folder          string
	network         string // of the machines' addresses: 127.N
	mu              sync.Mutex
	processes       map[string]*Process // the present life, by name
	commands        map[string][]Command
	lives           []*Process
	nextReplicaPort atomic.Int64
	onStart         func(m Machine, p *Process) // is told of each life
	stopping        bool
	running         sync.WaitGroup
	ctx             context.Context
	cancel          context.CancelFunc
}

// AllocateFleet takes a part of the loopback network and gives the machines of a fleet their places, below a folder. Nothing is started yet.
// Stop ends the fleet, also after an error.
func AllocateFleet(folder string, system System, size Size) (*Fleet, error) {
	f := &Fleet{Size: size, System: system, Ledger: newLedger(), folder: folder, processes: map[string]*Process{}, commands: map[string][]Command{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	err := f.findNetwork()
	f.allocateMachines()
	return f, err
}

// NewFleet starts a whole fleet, configures it, and waits until it serves. Stop ends it, also after an error.
func NewFleet(folder string, system System, size Size) (*Fleet, error) {
	f, err := AllocateFleet(folder, system, size)
	if err != nil {
		return f, err
	}
	if err := f.startReplicas(); err != nil {
		return f, err
	}
	f.running.Go(func() { system.List(f.ctx, f) })
	for _, m := range f.Machines {
		if err := f.StartMachine(m); err != nil {
			return f, err
		}
	}
	return f, f.configure()
}

// networks counts the parts of the loopback network that this process has tried.
var networks atomic.Int64

// findNetwork takes a part of the loopback network that no other fleet has: its list's listener is held until the end.
func (f *Fleet) findNetwork() (err error) {
	const first, count = 20, 200
	for range count {
		f.network = fmt.Sprintf("127.%d", first+(os.Getpid()+int(networks.Add(1)))%count)
		if f.ListListener, err = net.Listen("tcp", f.ListAddress()); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no part of the loopback network is free: %w", err)
}

// ListAddress is where the cores ask for the list of replicas.
func (f *Fleet) ListAddress() string { return fmt.Sprintf("%s.250.1:%d", f.network, listPort) }

func (f *Fleet) startReplicas() error {
	for n := range f.Size.Replicas {
		r, err := startReplica(fmt.Sprintf("i-%d", n+1), fmt.Sprintf("%s.200.%d:%d", f.network, n+1, replicaPort), f.System.Speech(), f.Ledger.recordRun)
		if err != nil {
			return err
		}
		f.Replicas = append(f.Replicas, r)
	}
	return nil
}

// allocateMachines gives the machines their names, addresses, zones and seeds.
func (f *Fleet) allocateMachines() {
	const zones = 3
	machine := func(kind string, subnet, n int) Machine {
		name := fmt.Sprintf("%s-%d", kind, n+1)
		return Machine{Name: name, Zone: fmt.Sprintf("zone-%d", n%zones+1), IP: fmt.Sprintf("%s.%d.%d", f.network, subnet, n+1), FirstBoot: true, Folder: filepath.Join(f.folder, name)}
	}
	var seeds []string
	for n := range f.Size.Cores {
		m := machine("core", 1, n)
		m.IsCore = true
		f.Machines = append(f.Machines, m)
		seeds = append(seeds, m.Control())
	}
	for n := range f.Size.Edges {
		f.Machines = append(f.Machines, machine("edge", 2, n))
	}
	for i := range f.Machines {
		f.Machines[i].Seeds = seeds[:min(maxSeeds, len(seeds))]
	}
}

// Cores are the core machines.
func (f *Fleet) Cores() []Machine { return f.Machines[:f.Size.Cores] }

// Edges are the edge machines.
func (f *Fleet) Edges() []Machine { return f.Machines[f.Size.Cores:] }

// StartMachine starts a machine's processes. From then on each is started again when it has ended.
func (f *Fleet) StartMachine(m Machine) error {
	commands, err := f.Prepare(m)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.commands[m.Name] = commands
	f.mu.Unlock()
	for _, command := range commands {
		p, err := f.start(m, command)
		if err != nil {
			return err
		}
		f.running.Go(func() { f.supervise(p, m) })
	}
	return nil
}

// Prepare makes a machine's disk and settings, and gives its processes' commands.
func (f *Fleet) Prepare(m Machine) ([]Command, error) {
	if err := os.MkdirAll(m.Data(), 0o755); err != nil {
		return nil, err
	}
	return f.System.Prepare(m, f)
}

// start starts a command; while the fleet ends, it gives nil.
func (f *Fleet) start(m Machine, command Command) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return nil, nil
	}
	p, err := Start(command)
	if err != nil {
		return nil, err
	}
	f.processes[command.Name] = p
	f.lives = append(f.lives, p)
	if f.onStart != nil {
		f.onStart(m, p)
	}
	return p, nil
}

// supervise starts a process again whenever it has ended. The settings of later lives are no longer those of the first start.
func (f *Fleet) supervise(p *Process, m Machine) {
	for p != nil {
		<-p.Exited()
		if !sleep(f.ctx, restartDelay) {
			return
		}
		m.FirstBoot = false
		commands, err := f.Prepare(m)
		if err != nil {
			f.Ledger.fail("settings of %s: %v", m.Name, err)
			return
		}
		at := slices.IndexFunc(commands, func(c Command) bool { return c.Name == p.Command.Name })
		if p, err = f.start(m, commands[at]); err != nil {
			f.Ledger.fail("restart: %v", err)
			return
		}
	}
}

// Process is the present life of a process.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// On are the present lives of a machine's processes.
func (f *Fleet) On(m Machine) (all []*Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, command := range f.commands[m.Name] {
		all = append(all, f.processes[command.Name])
	}
	return all
}

// Lives are all lives of all processes, in the order of their start.
func (f *Fleet) Lives() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.lives)
}

// configure submits the first configuration, and waits until every edge machine serves.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(f.ctx, startLimit)
	defer cancel()
	first := Change{Number: 1, Kind: FirstChange}
	if !eventually(startLimit, func() bool { return f.System.Submit(ctx, f.Cores()[0], first) == Accepted }) {
		return fmt.Errorf("the first configuration was not accepted within %v", startLimit)
	}
	f.Ledger.recordChange(first, Accepted, time.Now(), time.Now())
	for _, m := range f.Edges() {
		if !eventually(startLimit, func() bool { return f.IsReady(ctx, m) && f.serves(m) }) {
			return fmt.Errorf("%s did not serve within %v", m.Name, startLimit)
		}
	}
	return nil
}

// serves reports whether a replica answers a request that is sent to an edge machine.
func (f *Fleet) serves(m Machine) bool {
	connection, err := Connect(f.System.Speech(), m)
	if err != nil {
		return false
	}
	defer connection.Close()
	attempt := connection.NewAttempt("probe", "plain", Work{Kind: Idempotent}, time.Second, 0)
	if connection.Send(attempt, "", 1, 0) != nil {
		return false
	}
	connection.Receive(attempt, time.Now().Add(time.Second))
	return attempt.IsServed()
}

// IsReady reports whether a machine calls itself ready.
func (f *Fleet) IsReady(ctx context.Context, m Machine) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, f.System.ReadyURL(m), nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil && answer.StatusCode == http.StatusOK
}

// Stop ends the fleet in order: every process gets SIGTERM and its grace. It gives those that did not end by themselves.
func (f *Fleet) Stop() (stuck []*Process) {
	f.mu.Lock()
	f.stopping = true
	lives := slices.Clone(f.lives)
	f.mu.Unlock()
	for _, p := range lives {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	limit := time.Now().Add(f.Size.Grace + time.Second)
	for _, p := range lives {
		if !p.EndsWithin(time.Until(limit)) {
			stuck = append(stuck, p)
			p.Signal(syscall.SIGKILL)
			<-p.Exited()
		}
	}
	f.cancel()
	_ = f.ListListener.Close() // the list's server may have closed it
	for _, r := range f.ListedReplicas() {
		r.stop()
	}
	f.running.Wait()
	return stuck
}

// Story is what the processes whose names begin so have written, the last lines of each.
func (f *Fleet) Story(prefix string) string {
	const last = 12
	var out strings.Builder
	for _, p := range f.Lives() {
		if !strings.HasPrefix(p.Command.Name, prefix) {
			continue
		}
		fmt.Fprintf(&out, "%s, started %s", p.Command.Name, p.Started.Format(clock))
		p.mu.Lock()
		for _, s := range p.signals {
			fmt.Fprintf(&out, ", %v at %s", s.Signal, s.At.Format(clock))
		}
		p.mu.Unlock()
		if !p.Runs() {
			fmt.Fprintf(&out, ", ended %s: %s", p.Ended().Format(clock), p.Exit())
		}
		lines := strings.Split(strings.TrimSpace(p.Output()), "\n")
		fmt.Fprintf(&out, "\n    %s\n", strings.Join(lines[max(0, len(lines)-last):], "\n    "))
	}
	return out.String()
}

// clock is how times of a run are written.
const clock = "15:04:05.000"
