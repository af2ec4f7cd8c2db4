package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"asterridge/agent"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/deployment"
	"asterridge/disk"
	"asterridge/router"
	"asterridge/rpc"
)

// setup configures a child: which processes' code it runs, and their settings.
type setup struct {
	Role     string // cores, agents or proxies
	Count    int
	Cores    []string // addresses
	Agents   []string // loopback addresses of agents, for proxies
	Platform bool     // set as on the users' platform; else as by our own defaults
	Folder   string   // of the cores' disks
	Replicas int
	Models   int
	Blocks   int     // kept by all replicas together
	Events   float64 // of kept blocks, a second, by all replicas together
	Index    int     // entries of a proxy's index
}

// started is a child's first answer.
type started struct {
	Addresses []string
	Locals    []string // where proxies reach the agents
	Failure   string
}

// order is a command to a child.
type order struct {
	Do   string // sample, collect (the same after a collection), or restart
	Core int
}

// sample is a child's state at one moment.
type sample struct {
	At          time.Time
	Processor   float64 // seconds, user and system
	Heap        uint64  // bytes in use
	Stack       uint64
	Resident    uint64
	Descriptors int
	Goroutines  int
	Files       int64 // of the cores' disks
	FileBytes   int64
	Traffic     map[string]traffic
	Current     int // daemons that are current
	Lost        int // times that a daemon ceased to be
	InForce     map[uint64]inForce
	Failure     string
}

// inForce is how many processes use a version of the configuration, and since when the last of them does.
type inForce struct {
	Count int
	Last  time.Time
}

// journal counts the log lines about versions and currency.
type journal struct {
	mu      sync.Mutex
	current map[string]bool
	lost    int
	inForce map[uint64]inForce
}

func newJournal() *journal {
	return &journal{current: map[string]bool{}, inForce: map[uint64]inForce{}}
}

// The log messages that the journal counts.
const (
	currencyMessage = "currency changed"
	appliedMessage  = "register applied"
	viewMessage     = "routing view updated"
)

// Write takes one log line of a process.
func (j *journal) Write(line []byte) (int, error) {
	var entry struct {
		Message string `json:"message"`
		Daemon  string `json:"daemon"`
		Current bool   `json:"current"`
		Version uint64 `json:"version"`
		Key     string `json:"key"`
	}
	if json.Unmarshal(line, &entry) != nil {
		return len(line), nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case entry.Message == currencyMessage:
		if j.current[entry.Daemon] && !entry.Current {
			j.lost++
		}
		j.current[entry.Daemon] = entry.Current
	case entry.Message == viewMessage, entry.Message == appliedMessage && entry.Key == config.Key:
		f := j.inForce[entry.Version]
		j.inForce[entry.Version] = inForce{f.Count + 1, time.Now()}
	}
	return len(line), nil
}

const fleetName = "hollow"

// child runs the processes of one role.
type child struct {
	setup   setup
	ctx     context.Context
	counter *counter
	journal *journal
	log     zerolog.Logger
	backend *hollowBackend
	hosts   hosts
	cores   []*running
	all     sync.WaitGroup
}

// running is a core that can be restarted on its own disk.
type running struct {
	host  daemon.Host
	stop  context.CancelFunc
	ended chan struct{}
}

// serveChild runs a child on these hosts and executes its commands until they end.
func serveChild(in io.Reader, out io.Writer, on hosts) error {
	lines, answers := bufio.NewReader(in), json.NewEncoder(out)
	asked := json.NewDecoder(lines)
	var s setup
	if err := asked.Decode(&s); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &child{setup: s, ctx: ctx, hosts: on, counter: newCounter(), journal: newJournal()}
	c.log = zerolog.New(c.journal)
	defer c.all.Wait()
	defer stop()
	made, err := c.start()
	if err != nil {
		made.Failure = err.Error()
	}
	if failure := answers.Encode(made); failure != nil || err != nil {
		return err
	}
	for {
		var o order
		if asked.Decode(&o) != nil {
			return nil // the parent has gone
		}
		var failure error
		if o.Do == "restart" {
			failure = c.restart(o.Core)
		}
		now := c.sample(o.Do == "collect")
		if failure != nil {
			now.Failure = failure.Error()
		}
		if err := answers.Encode(now); err != nil {
			return nil
		}
	}
}

func (c *child) start() (started, error) {
	switch c.setup.Role {
	case "cores":
		return c.startCores()
	case "agents":
		return c.startAgents()
	case "proxies":
		return c.startProxies()
	}
	return started{}, fmt.Errorf("role %q", c.setup.Role)
}

func (c *child) place(role string, i, zones int, address string) daemon.Host {
	host, _, _ := net.SplitHostPort(address)
	name := fmt.Sprintf("%s-%03d", role, i+1)
	network := &countingNet{Network: c.hosts(host), counter: c.counter}
	var step time.Duration // 0: our own
	if c.setup.Platform {
		step = platformBounds.GossipInterval
	}
	return daemon.Host{Name: name, Fleet: fleetName, Zone: fmt.Sprintf("zone-%d", i%zones+1), Address: address, GossipInterval: step, Seeds: c.setup.Cores[:min(3, len(c.setup.Cores))],
		Net: network, Log: c.log.With().Str("daemon", name).Logger()}
}

// hosts returns the network as seen by the host with an IP address.
type hosts func(ip string) rpc.Network

// onLoopback are hosts on this machine, at loopback addresses of their own.
func onLoopback(ip string) rpc.Network {
	network := &rpc.TCP{}
	network.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	return network
}

// listen opens a free port on a host of its own.
func (h hosts) listen(group, i int) (net.Listener, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", group, 1+i/200, 1+i%200)
	return h(ip).Listen(net.JoinHostPort(ip, "0"))
}

func (c *child) startCores() (s started, err error) {
	var open []net.Listener
	for i := range c.setup.Count {
		l, err := c.hosts.listen(1, i)
		if err != nil {
			return s, err
		}
		open = append(open, l)
		s.Addresses = append(s.Addresses, l.Addr().String())
	}
	c.backend = newHollowBackend(c.setup)
	for i, l := range open {
		host := c.place("core", i, c.setup.Count, s.Addresses[i])
		host.Seeds = append(append([]string{}, s.Addresses[:i]...), s.Addresses[i+1:]...)
		r := &running{host: host}
		c.cores = append(c.cores, r)
		if err := c.runCore(i, l); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (c *child) runCore(i int, l net.Listener) error {
	r := c.cores[i]
	folder, err := disk.NewFolder(filepath.Join(c.setup.Folder, r.host.Name))
	if err != nil {
		return err
	}
	options := controlplane.Options{ClaimRetention: time.Hour}
	if c.setup.Platform {
		options = platformBounds.Core()
		options.Backend = c.backend
	}
	core, err := controlplane.New(r.host, folder, options)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	r.stop, r.ended = stop, make(chan struct{})
	c.all.Go(func() {
		defer close(r.ended)
		_ = core.Serve(ctx, l) // it ends with the child
	})
	return nil
}

// restart stops a core and starts it again at its address with its disk.
func (c *child) restart(i int) error {
	if i >= len(c.cores) {
		return fmt.Errorf("no core %d here", i)
	}
	c.cores[i].stop()
	<-c.cores[i].ended
	l, err := c.cores[i].host.Net.Listen(c.cores[i].host.Address)
	if err != nil {
		return err
	}
	return c.runCore(i, l)
}

// reportingProtocol is the protocol of a fleet whose replicas do not report to agents; the cores forward their load.
type reportingProtocol struct{ router.ChatProtocol }

// ReportPath is empty.
func (reportingProtocol) ReportPath() string { return "" }

// platformBounds are bounds like those of the users' deployments.
var platformBounds = deployment.Bounds{RevocationClosed: true, KeyRevocation: 5 * time.Second, ConfigApply: 12 * time.Second, ModelVersion: 20 * time.Second, Lease: 3 * time.Second,
	Drain: 3 * time.Second, Grace: 5 * time.Second, GossipInterval: 1200 * time.Millisecond, MemoryMB: 64}

func (c *child) startAgents() (s started, err error) {
	for i := range c.setup.Count {
		local, err := c.hosts.listen(2, i)
		if err != nil {
			return s, err
		}
		outer, err := c.hosts.listen(2, i)
		if err != nil {
			return s, err
		}
		options := agent.Options{}
		if c.setup.Platform {
			options = platformBounds.Agent()
			options.Protocol, options.Grace = reportingProtocol{}, 0
		}
		agent := agent.New(c.place("agent", i, zones, outer.Addr().String()), nil, options)
		c.all.Go(func() { _ = agent.Serve(c.ctx, local, outer) }) // it ends with the child
		s.Addresses, s.Locals = append(s.Addresses, outer.Addr().String()), append(s.Locals, local.Addr().String())
	}
	return s, nil
}

// startProxies starts the routers with everything that follows their agents; no client connects to them.
func (c *child) startProxies() (s started, err error) {
	for i, agent := range c.setup.Agents {
		host := c.place("proxy", i, zones, agent)
		options := router.Options{Name: host.Name, Zone: host.Zone, Fleet: fleetName, Agent: agent, Net: host.Net, Log: host.Log, PrefixIndexSize: c.setup.Index, Seed: uint64(i)}
		if c.setup.Platform {
			options.Protocol, options.AgentWatchWait = reportingProtocol{}, platformBounds.Proxy().AgentWatchWait
		}
		r := router.New(options)
		c.all.Go(func() { r.Run(c.ctx) })
	}
	return s, nil
}

func (c *child) sample(collected bool) sample {
	if collected {
		runtime.GC()
	}
	s := sample{At: time.Now(), Goroutines: runtime.NumGoroutine(), Traffic: c.counter.all(), InForce: map[uint64]inForce{}}
	var used unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &used) // cannot fail for oneself
	s.Processor = seconds(used.Utime) + seconds(used.Stime)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s.Heap, s.Stack, s.Resident = memory.HeapAlloc, memory.StackInuse, resident()
	if files, err := os.ReadDir("/proc/self/fd"); err == nil {
		s.Descriptors = len(files)
	}
	if c.setup.Folder != "" {
		_ = filepath.WalkDir(c.setup.Folder, func(_ string, entry os.DirEntry, err error) error { // files come and go while they are counted
			if err != nil || entry.IsDir() {
				return nil // files come and go
			}
			if about, err := entry.Info(); err == nil {
				s.Files++
				s.FileBytes += about.Size()
			}
			return nil
		})
	}
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	for _, current := range c.journal.current {
		if current {
			s.Current++
		}
	}
	s.Lost = c.journal.lost
	for version, f := range c.journal.inForce {
		s.InForce[version] = f
	}
	return s
}

func seconds(t unix.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }

// resident returns this process's resident memory.
func resident() uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64) // the kernel writes whole numbers
	return pages * uint64(os.Getpagesize())
}

// serveReports answers the agents' polls as replicas with our own interface do.
func serveReports(l net.Listener) {
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { // it ends with the child
		_, _ = io.WriteString(w, `{"run":"a","number":1,"weights":"w1","running":3,"warm":true,"rate":4,"image":false}`) // a reader that is gone asks again
	}))
}
