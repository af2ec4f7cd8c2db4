package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Plan is one run of a soak.
type Plan struct {
	Seed    uint64
	Size    Size
	Clients int
	// Length is how long clients send requests and things happen.
	Length time.Duration
}

// Result is what a run has shown.
type Result struct {
	Plan     Plan
	Findings []string
	Ledger   *Ledger
	Lives    []*Process
	// Stories has the logs of the processes that findings name, by their machine.
	Stories string
	// Peaks are the largest resident memories in MiB and the most descriptors at rest, by role.
	Peaks map[string]Peak
}

// Peak is what processes of a role have used.
type Peak struct{ MemoryMB, Descriptors int }

// run is a run that is under way.
type run struct {
	plan     Plan
	fleet    *Fleet
	operator *operator
	armed    armed
	pending  tasks // signals that are yet to be sent
}

const (
	// idleLength is how long a fleet is left alone before it is looked at.
	idleLength = 3 * time.Second
	// numberOf streams of random numbers.
	scriptStream, clientStream = 1, 1000
)

// Play runs one plan below a folder. The error is of the soak itself.
func Play(folder string, system System, plan Plan) (Result, error) {
	fleet, err := NewFleet(folder, system, plan.Size)
	result := Result{Plan: plan, Ledger: fleet.Ledger, Peaks: map[string]Peak{}}
	if err != nil {
		result.Stories = fleet.Story("")
		fleet.Stop()
		return result, err
	}
	r := &run{plan: plan, fleet: fleet, armed: armed{signals: map[string][]syscall.Signal{}, gaps: map[string][]time.Duration{}}}
	r.operator = newOperator(fleet)
	fleet.setOnStart(r.started)
	r.play()
	fleet.setOnStart(nil)
	r.pending.Wait() // signals for lives that have started since the run waited for the others
	check := newCheck(fleet, plan)
	check.inspectIdle(result.Peaks)
	check.stuck(fleet.Stop())
	result.Lives = fleet.Lives()
	check.all()
	result.Findings, result.Stories = check.findings, check.stories()
	return result, nil
}

// play has clients send requests while the script happens, and then leaves the fleet alone.
func (r *run) play() {
	ctx, cancel := context.WithTimeout(context.Background(), r.plan.Length)
	defer cancel()
	d := &doors{fleet: r.fleet, open: r.fleet.Edges()}
	var clients sync.WaitGroup
	clients.Go(func() { d.watch(ctx) })
	clients.Go(func() { r.operator.readAlong(ctx) })
	for n := range r.plan.Clients {
		c := &client{ctx: ctx, fleet: r.fleet, doors: d, name: fmt.Sprintf("s%d-c%d", r.plan.Seed, n), random: rand.New(rand.NewPCG(r.plan.Seed, clientStream+uint64(n)))}
		clients.Go(c.run)
	}
	began := time.Now()
	writer := &scriptWriter{random: rand.New(rand.NewPCG(r.plan.Seed, scriptStream)), fleet: r.fleet, length: r.plan.Length}
	for _, e := range writer.write() {
		time.Sleep(time.Until(began.Add(e.at)))
		r.pending.Go(func() { e.do(r) })
	}
	clients.Wait()
	r.pending.Wait()
	r.operator.finish()
}

// signal sends a signal to some of a machine's processes.
func (r *run) signal(m Machine, roles []int, s syscall.Signal) {
	on := r.fleet.On(m)
	for _, role := range roles {
		r.send(on[role], s)
	}
}

// send sends a signal. What is told to stop is killed when its grace is over, as the users' platform does.
func (r *run) send(p *Process, s syscall.Signal) {
	_, stopping := p.Sent(syscall.SIGTERM, syscall.SIGINT)
	p.Signal(s)
	if stopping || s != syscall.SIGTERM && s != syscall.SIGINT {
		return
	}
	r.pending.Go(func() {
		if !p.EndsWithin(r.plan.Size.Grace) {
			p.Signal(syscall.SIGKILL)
		}
	})
}

// setOnStart has a function told of each life that starts from now on; nil: none.
func (f *Fleet) setOnStart(notify func(Machine, *Process)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStart = notify
}

// operator changes the configuration, one change at a time.
type operator struct {
	fleet  *Fleet
	mu     sync.Mutex
	number int // of the newest change, accepted or not
}

func newOperator(f *Fleet) *operator { return &operator{fleet: f, number: 1} }

const (
	submitTimeout  = 2 * time.Second
	submitAttempts = 4
	readInterval   = 300 * time.Millisecond
)

// submit has a change accepted. A change without a clear answer is sent again as it was, to the other cores in turn.
func (o *operator) submit(core Machine, kind ChangeKind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	base, known := o.read(core)
	if !known {
		return
	}
	o.number++
	change, sent, verdict := Change{Number: o.number, BasedOn: base, Kind: kind}, time.Now(), Unclear
	for n := 0; n < submitAttempts && verdict == Unclear; n++ {
		ctx, cancel := context.WithTimeout(o.fleet.ctx, submitTimeout)
		verdict = o.fleet.System.Submit(ctx, o.core(core, n), change)
		cancel()
		if verdict == Unclear {
			sleep(o.fleet.ctx, restartDelay)
		}
	}
	o.fleet.Ledger.recordChange(change, verdict, sent, time.Now())
}

// core is the nth core after one.
func (o *operator) core(first Machine, n int) Machine {
	cores := o.fleet.Cores()
	for at, m := range cores {
		if m.Name == first.Name {
			return cores[(at+n)%len(cores)]
		}
	}
	return first
}

// read asks a core for the newest number, and the others if it does not know.
func (o *operator) read(first Machine) (number int, known bool) {
	for n := range o.fleet.Cores() {
		core, sent := o.core(first, n), time.Now()
		ctx, cancel := context.WithTimeout(o.fleet.ctx, submitTimeout)
		number, err := o.fleet.System.Read(ctx, core)
		cancel()
		if err == nil {
			o.fleet.Ledger.recordRead(core.Name, number, sent)
			return number, true
		}
	}
	return 0, false
}

// readAlong reads the configuration again and again, from each core in turn.
func (o *operator) readAlong(ctx context.Context) {
	for n := 0; sleep(ctx, readInterval); n++ {
		o.read(o.core(o.fleet.Cores()[0], n))
	}
}

// finish reads the configuration from every core once nothing happens any more.
func (o *operator) finish() {
	sleep(o.fleet.ctx, idleLength)
	for _, core := range o.fleet.Cores() {
		if !eventually(startLimit, func() bool { return o.readsNewest(core) }) {
			o.fleet.Ledger.fail("CONFIG: %s does not give the newest accepted configuration", core.Name)
		}
	}
}

// readsNewest reports whether a core gives a configuration that is not older than the newest accepted one.
func (o *operator) readsNewest(core Machine) bool {
	ctx, cancel := context.WithTimeout(o.fleet.ctx, submitTimeout)
	defer cancel()
	number, err := o.fleet.System.Read(ctx, core)
	return err == nil && number >= o.fleet.Ledger.newestAccepted()
}
