package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"asterridge/blueprint"
	"asterridge/daemon"
	"asterridge/fail"
	"asterridge/link"
	"asterridge/router"
	"asterridge/standin"
)

// process is one daemon that this tool started.
type process struct {
	name    string
	program string
	args    []string
	cmd     *exec.Cmd
	ended   chan struct{}
}

type fleet struct {
	options   options
	wire      *link.Wire
	processes map[string]*process
	started   []string
	cores     []string // addresses, of relays
	listens   []string // the cores' own
	proxies   []string
	admins    []string
	replicas  map[string]string // name → address
	keys      []standin.Caller
	relays    *relays
	agents    []string // addresses, of relays
	tenants   []string
	gone      map[int]bool // cores that were replaced for good
	isClosing bool         // a closing fault ends the run
	mu        sync.Mutex
	diary     standin.Diary
	probed    []standin.Asked
	rest      []standin.State
	figures   []string
}

const fleetName = "loopback"

// place gives a free port on a loopback address of its own for each machine.
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

// start brings up cores, replicas, agents and proxies, and has the deployment's blueprint accepted.
func start(ctx context.Context, o options) (*fleet, error) {
	f := &fleet{options: o, wire: link.NewWire(fleetName, &link.TCP{}), processes: map[string]*process{}, replicas: map[string]string{}, relays: newRelays(), gone: map[int]bool{}}
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
	if err := f.declare(ctx); err != nil {
		return f, err
	}
	err := eventually(ctx, 15*time.Second, "all proxies have the blueprint and are ready", func() bool { return f.areReady(1) })
	return f, err
}

// placeCore gives a core its address, with a relay before it.
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
	if err := f.run("store-1", "standin", "replica", "-name", "store-1", "-address", store, "-kind", "store", "-blocks", "20000"); err != nil {
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

// startReplica starts a stand-in behind a relay.
func (f *fleet) startReplica(name, kind string, machine int) error {
	listen, err := place(machine)
	if err != nil {
		return err
	}
	if f.replicas[name], err = f.relays.open(machine, listen); err != nil {
		return err
	}
	return f.run(name, "standin", "replica", "-name", name, "-address", listen, "-kind", kind, "-store", f.replicas["store-1"], "-ledger", f.path(name+".ledger"))
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

// declare gives the fleet its blueprint, keys and replicas.
func (f *fleet) declare(ctx context.Context) error {
	text, err := os.ReadFile(filepath.Join(f.options.examples, f.options.deployment, "blueprint.json"))
	if err != nil {
		return err
	}
	if _, err := f.order(ctx, "blueprint", daemon.BlueprintOrder{Text: text}); err != nil {
		return err
	}
	if f.options.isObserve {
		if _, err := f.order(ctx, "blueprint", daemon.BlueprintOrder{Text: []byte(`{"hold":{"observe":true}}`), IsPartial: true}); err != nil {
			return err
		}
	}
	plan, err := blueprint.Read(text, nil, false)
	if err != nil {
		return err
	}
	for name, t := range plan.Tenants {
		f.tenants = append(f.tenants, name)
		f.keys = append(f.keys, standin.Caller{Tenant: name, Access: fmt.Sprintf("%s-key-%d", name, f.options.seed), Weight: 3 * t.Weight})
	}
	sort.Strings(f.tenants)
	sort.Slice(f.keys, func(i, j int) bool { return f.keys[i].Tenant < f.keys[j].Tenant })
	for _, name := range f.tenants {
		f.keys = append(f.keys, standin.Caller{Tenant: name, Access: f.spare(name), Weight: 1})
	}
	for _, c := range f.keys {
		if _, err := f.order(ctx, "keys", daemon.KeyOrder{Tenant: c.Tenant, Hash: blueprint.HashKey(c.Access)}); err != nil {
			return err
		}
	}
	var told []blueprint.Replica
	for name, at := range f.replicas {
		told = append(told, blueprint.Replica{Name: name, Address: at, Pool: strings.SplitN(name, "-", 2)[0], Zone: "zone-1", State: "present", Limit: 8})
	}
	raw, _ := json.Marshal(map[string]any{"replicas": told})
	if err := os.WriteFile(f.path("replicas.json"), raw, 0o644); err != nil {
		return err
	}
	err = f.run("platform", "standin", "platform", "-name", "platform", "-fleet", fleetName, "-cores", strings.Join(f.cores, ","), "-file", f.path("replicas.json"))
	if err != nil {
		return err
	}
	return eventually(ctx, 10*time.Second, "the platform has told of the replicas", func() bool {
		for _, row := range f.query("owners") {
			if row["key"] == blueprint.ReplicasKey {
				return row["settled"] == true
			}
		}
		return false
	})
}

// spare is a tenant's second key, which faults may revoke.
func (f *fleet) spare(tenant string) string {
	return fmt.Sprintf("%s-spare-%d", tenant, f.options.seed)
}

func (f *fleet) path(name string) string { return filepath.Join(f.options.data, name) }

// run starts a program; its log goes to the data folder.
func (f *fleet) run(name, program string, args ...string) error {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p := &process{name: name, program: program, args: args, ended: make(chan struct{})}
	folder := f.options.bin
	if n := name[len(name)-1]; f.options.other != "" && program != "standin" && (n-'0')%2 == 0 {
		folder = f.options.other
	}
	p.cmd = exec.Command(filepath.Join(folder, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	if f.processes[name] == nil {
		f.started = append(f.started, name)
	}
	f.processes[name] = p
	return nil
}

// signal sends a signal to a process that this tool started.
func (f *fleet) signal(name string, s syscall.Signal) error {
	return f.processes[name].cmd.Process.Signal(s)
}

// end stops processes, by SIGKILL or SIGTERM, and waits until they are gone.
func (f *fleet) end(s syscall.Signal, names ...string) error {
	for _, name := range names {
		if err := f.signal(name, s); err != nil {
			return err
		}
	}
	for _, name := range names {
		<-f.processes[name].ended
	}
	return nil
}

func (f *fleet) runs(name string) bool {
	select {
	case <-f.processes[name].ended:
		return false
	default:
		return true
	}
}

// ensure starts those of the processes that do not run.
func (f *fleet) ensure(names ...string) error {
	return f.again(slices.DeleteFunc(slices.Clone(names), f.runs)...)
}

// again starts processes anew, with what they were started with.
func (f *fleet) again(names ...string) error {
	for _, name := range names {
		p := f.processes[name]
		if err := f.run(name, p.program, p.args...); err != nil {
			return err
		}
	}
	return nil
}

// daemons names the fleet's own processes: cores, agents, proxies.
func (f *fleet) daemons() (all []string) {
	for _, name := range f.started {
		if p := f.processes[name].program; p == "core" || p == "agent" || p == "proxy" {
			all = append(all, name)
		}
	}
	return all
}

// stop ends all processes that this tool started: kindly first, then not.
func (f *fleet) stop() {
	for i := len(f.started) - 1; i >= 0; i-- {
		_ = f.processes[f.started[i]].cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.After(6 * time.Second)
	for _, name := range f.started {
		select {
		case <-f.processes[name].ended:
		case <-limit:
			_ = f.processes[name].cmd.Process.Kill()
			<-f.processes[name].ended
		}
	}
}

// order sends a change to the first core that takes it, and notes it as a fact where a rule speaks of it.
func (f *fleet) order(ctx context.Context, name string, q any) (daemon.Accepted, error) {
	var last error
	for _, core := range f.cores {
		short, stop := context.WithTimeout(ctx, 5*time.Second)
		a, err := link.Call[daemon.Accepted](short, f.wire, core, "/op/"+name, q)
		stop()
		if err == nil || fail.Of(err).Code.Ran != fail.NotRun {
			f.diary.Order(name, q, a.Version, err != nil)
		}
		if err == nil {
			return a, nil
		}
		last = err
	}
	return daemon.Accepted{}, last
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.figures = append(f.figures, fmt.Sprintf(format, args...))
}

// query asks the first core that answers.
func (f *fleet) query(what string) []router.Row {
	for _, core := range f.cores {
		if all := f.ask(core, what); all != nil {
			return all
		}
	}
	return nil
}

// ask gives one core's rows; nil if it does not answer.
func (f *fleet) ask(core, what string) []router.Row {
	short, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	a, _ := link.Call[daemon.QueryAnswer](short, f.wire, core, "/query", daemon.Query{What: what})
	return a.Rows
}

// isFounded says whether every core is a member and sees a majority.
func (f *fleet) isFounded() bool {
	for _, core := range f.cores {
		if !isReady(core) {
			return false
		}
	}
	return true
}

func isReady(address string) bool {
	r, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// areReady says whether all proxies are ready and have the newest blueprint.
func (f *fleet) areReady(least uint64) bool {
	have := 0
	for _, row := range f.query("acks") {
		version, _ := row["blueprint"].(float64)
		if row["has_newest"] == true && uint64(version) >= least && row["current"] == true {
			have++
		}
	}
	if have < f.options.proxies {
		return false
	}
	for _, admin := range f.admins {
		if !isReady(admin) {
			return false
		}
	}
	return true
}

// behave sets how replicas treat a tenant.
func (f *fleet) behave(b standin.Behaviour) {
	raw, _ := json.Marshal(b)
	client := &http.Client{Timeout: time.Second}
	for _, at := range f.replicas {
		if r, err := client.Post("http://"+at+"/control", "application/json", bytes.NewReader(raw)); err == nil { // one that is dead forgets anyway
			_ = r.Body.Close()
		}
	}
}

// play runs the callers and, meanwhile, the script.
func (f *fleet) play(ctx context.Context, s script) error {
	var keys []string
	for _, c := range f.keys {
		keys = append(keys, fmt.Sprintf("%s=%s=%d", c.Tenant, c.Access, c.Weight))
	}
	err := f.run("callers", "standin", "callers", "-name", "callers", "-proxies", strings.Join(f.proxies, ","), "-keys", strings.Join(keys, ","),
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

// probe asks every proxy until it answers whole: all machines are back, and service is due.
func (f *fleet) probe(ctx context.Context) {
	f.diary.Add(standin.Fact{Kind: standin.Returned})
	probing, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	standin.Probe(probing, standin.LoadOptions{Callers: f.keys[len(f.tenants)-1:], Proxies: f.proxies, Client: &http.Client{}, Prefix: "back", Deadline: time.Minute,
		Ledger: func(a standin.Asked) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.probed = append(f.probed, a)
		}})
}

// comeToRest has operators repair what they must, and asks what each core and proxy then holds.
func (f *fleet) comeToRest(ctx context.Context) error {
	err := f.repair(ctx)
	after(ctx, 2*time.Second) // what was undecided is settled, and all have caught up
	for i, core := range f.cores {
		if f.gone[i] {
			continue
		}
		f.rest = append(f.rest, standin.States(rows(f.ask(core, "fields")))...)
	}
	f.rest = append(f.rest, standin.States(rows(f.query("proxyfields")))...)
	return err
}

func rows(all []router.Row) (plain []map[string]any) {
	for _, row := range all {
		plain = append(plain, row)
	}
	return plain
}

// noteCounts adds up what the proxies counted.
func (f *fleet) noteCounts() {
	sum := map[string]float64{}
	for _, row := range f.query("counts") {
		for name, value := range row {
			if n, isNumber := value.(float64); isNumber {
				sum[name] += n
			}
		}
	}
	f.note("claims %.0f, mean %.1f ms; first shots %.0f, second shots %.0f, throttles seen %.0f",
		sum["claims"], sum["claim_us"]/max(1, sum["claims"])/1000, sum["first_shots"], sum["second_shots"], sum["throttles"])
}

func readLines[T any](path string) []T {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	var all []T
	lines := bufio.NewReader(file)
	for {
		raw, err := lines.ReadBytes('\n')
		var line T
		if len(raw) > 0 && json.Unmarshal(raw, &line) == nil {
			all = append(all, line)
		}
		if err == io.EOF {
			return all
		}
		if err != nil {
			return all
		}
	}
}

// report checks the ledgers and prints the table; it gives the number of breaches.
func (f *fleet) report() int {
	l := standin.Ledgers{Asked: readLines[standin.Asked](f.path("callers.ledger")), Facts: f.diary.Facts(), Rest: f.rest}
	fmt.Println(standin.Summary(l.Asked))
	l.Asked = append(l.Asked, f.probed...)
	for name := range f.replicas {
		l.Runs = append(l.Runs, readLines[standin.Run](f.path(name+".ledger"))...)
	}
	fmt.Println("at the end every proxy's first whole answer came after:", standin.Returns(l))
	hit, fetched, blocks, ran, refused := 0, 0, 0, 0, 0
	for _, r := range standin.LastOfEach(l.Runs) {
		if r.HasRun {
			ran++
			hit += r.Hit
			fetched += r.Fetched
			blocks += r.Size
		} else {
			refused++
		}
	}
	fmt.Printf("replicas: ran %d, refused %d, cache hit share %.3f, %.3f of it fetched\n", ran, refused,
		float64(hit)/float64(max(1, blocks)), float64(fetched)/float64(max(1, hit)))
	for _, figure := range f.figures {
		fmt.Println(figure)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tbreaches\tjudged\twhat\tfirst")
	sum := 0
	for _, finding := range standin.Check(l) {
		fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\n", finding.Rule, finding.Count, finding.Seen, finding.Name, finding.First)
		sum += finding.Count
	}
	_ = w.Flush()
	fmt.Println("data:", f.options.data)
	return sum
}
