package register_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/linearizability"
	"asterridge/register"
	"asterridge/sim"
)

// call is one request of an operator at one node; a read if it has no declaration.
type call struct {
	node        int
	declaration *config.NumberedConfig
}

// declare is an order that adds one path, named by its number and label, on top of a base.
func declare(node int, number, base uint64, label string) call {
	name := fmt.Sprintf("p%d%s", number, label)
	b := config.Empty()
	b.Pools["web"] = config.Pool{Name: "web", Kind: "web"}
	b.Paths[name] = config.Path{Name: name, Address: "/" + name + "/", Pool: "web", DeadlineMs: 1000, Public: true, MaxBody: 1000, Cost: 1}
	d := &config.NumberedConfig{Number: number, BasedOn: base, Digest: fmt.Sprint(number, base, label), Items: b.Fields(),
		Texts: register.Fields{"path/" + name: json.RawMessage(`{}`)}, Order: []string{"path/" + name}}
	delete(d.Items, "hold")
	return call{node, d}
}

func read(node int) call { return call{node: node} }

// budget is how often each kind of fault may come about in one schedule.
type budget struct {
	losses, delays, doubles, restarts int
}

// notes says how messages go that tell acceptors what is settled. Only time is lost with them, so that small scenarios fix it.
type notes int

const (
	scheduled notes = iota // as all others
	prompt                 // they arrive at once
	lost                   // they never arrive
)

// scenario is a small cluster with what is asked of it.
type scenario struct {
	size   int
	orders []call
	inTurn bool // an order begins only once those before have ended
	faults budget
	notes  notes
	plant  *plant // nil: the real code alone
}

// plant wraps the real code with a fault that the model has to find.
type plant struct {
	acceptor func(to int, real register.Peer) register.Peer // as an owner meets it
	quorum   func(i int, all register.Peers) register.Peers // of an owner
	restart  func(d *sim.Disk)                              // between a node's end and its start
	number   func(i int) uint32                             // of a node, the low byte of its epochs
}

// message is one request of an owner to an acceptor, on its way there or, with an answer, on its way back.
type message struct {
	from, life, to int
	name           string // what it asks, in full
	sentAt         int    // the number of steps before it
	putOff         bool   // a step was taken in its stead
	do             func() (any, error)
	answer         *answered
	back           chan answered // nil: nobody waits for the answer
}

type answered struct {
	value any
	err   error
}

func (a answered) String() string {
	if a.err != nil {
		return fmt.Sprint(apierror.Of(a.err).Code.Name, apierror.Of(a.err).At)
	}
	if record, isRecord := a.value.(register.Record); isRecord {
		return fmt.Sprint(describe(record), len(record.Fields))
	}
	return "yes"
}

// member is one node: an acceptor on a disk, and an owner.
type member struct {
	disk     *sim.Disk
	acceptor *register.Acceptor
	owner    *register.Owner
	life     int
	checked  register.Revision // by check
	sent     int               // requests of its owner
	met      [][]string        // what its owner has met since it started, in groups between two steps of its own
}

// model runs real acceptors and owners; every message waits until the schedule lets it go on.
type model struct {
	t        *testing.T
	scenario scenario
	left     budget
	members  []*member
	history  *linearizability.Recorder
	steps    int

	mu       sync.Mutex
	flying   []*message
	orphans  []chan answered // of owners whose life is over
	closed   bool
	log      []string                     // what operators met, in order
	contents map[register.Revision]string // whatever disk had it
	yes      []string                     // fields that were acknowledged
	started  int                          // of the orders
	running  map[*call]int                // those under way, with the life of their node
	cuts     map[route]bool
	fault    error // the first that was found
}

const modelKey = config.Key

func newModel(t *testing.T, s scenario) *model {
	c := &model{t: t, scenario: s, left: s.faults, history: &linearizability.Recorder{}, contents: map[register.Revision]string{}, running: map[*call]int{}, cuts: map[route]bool{}}
	for i := range s.size {
		c.members = append(c.members, &member{disk: sim.NewDisk()})
		c.start(i)
	}
	return c
}

// start opens a node on its disk; the owner of the life before is gone, and nobody waits for its answers.
func (c *model) start(i int) {
	m := c.members[i]
	m.life++
	m.met, m.sent = nil, 0
	if c.scenario.plant != nil && c.scenario.plant.restart != nil && m.life > 1 {
		c.scenario.plant.restart(m.disk)
	}
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: m.disk.Open(), OnChange: func(string, register.Record, register.Fields, bool) {},
		OnSkipped: func(_, file string, err error) { c.found(fmt.Errorf("file %s: %w", file, err)) }})
	if err != nil {
		c.t.Fatal(err)
	}
	m.acceptor = acceptor
	life := m.life
	m.owner = register.NewOwner(register.OwnerOptions{
		MemberID: func() uint32 {
			if c.scenario.plant != nil && c.scenario.plant.number != nil {
				return c.scenario.plant.number(i)
			}
			return uint32(i + 1)
		}, Acceptor: acceptor, Timeout: time.Hour,
		Peers: func() (register.Peers, error) {
			var all register.Peers
			for to := range c.members {
				var p register.Peer = remote{c, i, life, to}
				if c.scenario.plant != nil && c.scenario.plant.acceptor != nil {
					p = c.scenario.plant.acceptor(to, p)
				}
				all = append(all, p)
			}
			if c.scenario.plant != nil && c.scenario.plant.quorum != nil {
				all = c.scenario.plant.quorum(i, all)
			}
			return all, nil
		},
	})
}

// remote is an acceptor as an owner of one life meets it.
type remote struct {
	c              *model
	from, life, to int
}

func (r remote) send(name string, do func(*register.Acceptor) (any, error)) (any, error) {
	back := make(chan answered, 1)
	r.c.mu.Lock()
	if r.c.closed {
		r.c.mu.Unlock()
		return nil, errLost
	}
	if from := r.c.members[r.from]; from.life == r.life {
		from.sent++
	}
	r.c.flying = append(r.c.flying, &message{from: r.from, life: r.life, to: r.to, name: name, back: back, sentAt: r.c.steps,
		do: func() (any, error) { return do(r.c.members[r.to].acceptor) }})
	r.c.mu.Unlock()
	a := <-back
	return a.value, a.err
}

func (r remote) Prepare(_ context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	value, err := r.send(fmt.Sprint("promise ", epoch, has), func(k *register.Acceptor) (any, error) { return k.Prepare(key, epoch, has) })
	record, _ := value.(register.Record)
	return record, err
}

func (r remote) Confirm(_ context.Context, key string, epoch uint64) error {
	_, err := r.send(fmt.Sprint("confirm ", epoch), func(k *register.Acceptor) (any, error) { return nil, k.Confirm(key, epoch) })
	return err
}

func (r remote) Accept(_ context.Context, change register.Change) error {
	name := fmt.Sprint("accept ", change.Base, change.Next, change.Full, len(change.Fields)) // within one epoch a revision has one content
	_, err := r.send(name, func(k *register.Acceptor) (any, error) { return nil, k.Accept(change) })
	return err
}

func (r remote) Commit(_ context.Context, key string, revision register.Revision) {
	switch r.c.scenario.notes {
	case prompt:
		r.c.members[r.to].acceptor.Commit(key, revision)
		return
	case lost:
		return
	}
	_, _ = r.send(fmt.Sprint("settle ", revision), func(k *register.Acceptor) (any, error) { k.Commit(key, revision); return nil, nil })
}

// kind of a step.
type kind int

const (
	plain      kind = iota // a message goes on, or an order begins
	mending                // all cuts are mended
	disturbing             // a message is lost, late or doubled
	restarting             // a node restarts
)

// choice is one step that a schedule may take.
type choice struct {
	name    string
	message *message // that it lets go on; nil for faults and orders
	kind    kind
	do      func()
}

// choices lists the steps that are open now, in an order that depends on nothing but the steps before: messages by age, the next order,
// messages that were put off, faults.
func (c *model) choices() (all []choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(c.flying, func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.from, b.from), cmp.Compare(a.life, b.life), cmp.Compare(a.name, b.name), cmp.Compare(a.to, b.to))
	})
	var later []choice
	for _, m := range c.flying {
		made := choice{m.String(), m, plain, func() { c.exchange(m) }}
		if m.answer != nil {
			made = choice{"the late answer to " + m.String(), m, plain, func() { c.remove(m); c.bring(m, *m.answer) }}
		}
		if c.isCut(m) {
			continue
		}
		if m.putOff {
			later = append(later, made)
		} else {
			all = append(all, made)
		}
	}
	if c.started < len(c.scenario.orders) && !(c.scenario.inTurn && c.isAnyRunning()) {
		o := &c.scenario.orders[c.started]
		all = append(all, choice{o.String(), nil, plain, func() { c.ask(o) }})
	}
	if len(c.cuts) > 0 {
		later = append(later, choice{"the cuts are mended", nil, mending, func() { clear(c.cuts) }})
	}
	return slices.Concat(all, later, c.faultsOpen())
}

// route is one direction between two nodes.
type route struct{ from, to int }

// isCut says whether a message cannot go on now.
func (c *model) isCut(m *message) bool {
	if m.answer != nil {
		return c.cuts[route{m.to, m.from}]
	}
	return c.cuts[route{m.from, m.to}]
}

// exchange has a message arrive, and its answer too if the way back is open.
func (c *model) exchange(m *message) {
	a := c.run(m)
	if c.cuts[route{m.to, m.from}] {
		m.answer = &a
		return
	}
	c.remove(m)
	c.bring(m, a)
}

// take makes one of the open choices; the messages before it are put off, so that whoever follows the order of choices comes to them last.
func (c *model) take(open []choice, pick int) {
	for _, passed := range open[:pick] {
		if passed.message != nil && open[pick].message != nil {
			passed.message.putOff = true
		}
	}
	c.steps++
	open[pick].do()
}

func (c *model) faultsOpen() (all []choice) {
	for _, m := range c.flying {
		if m.answer != nil || m.back == nil || c.isCut(m) {
			continue
		}
		if c.left.losses > 0 {
			all = append(all,
				choice{"loss of " + m.String(), nil, disturbing, func() { c.left.losses--; c.remove(m); c.bring(m, answered{err: errLost}) }},
				choice{"loss of the answer to " + m.String(), nil, disturbing, func() { c.left.losses--; c.remove(m); c.run(m); c.bring(m, answered{err: errLost}) }})
		}
		if c.left.delays > 0 {
			all = append(all, choice{"delay of the answer to " + m.String(), nil, disturbing, func() { c.left.delays--; a := c.run(m); m.answer = &a }})
		}
		if c.left.doubles > 0 {
			all = append(all, choice{"a copy left over of " + m.String(), nil, disturbing, func() {
				c.left.doubles--
				c.remove(m)
				c.bring(m, c.run(m))
				c.fly(&message{from: m.from, life: m.life, to: m.to, name: m.name, do: m.do, sentAt: c.steps})
			}})
		}
	}
	if c.left.restarts > 0 {
		for i := range c.members {
			all = append(all, choice{fmt.Sprint("restart of ", i), nil, restarting, func() { c.left.restarts--; c.restart(i) }})
		}
	}
	return all
}

func (m *message) String() string { return fmt.Sprintf("%d→%d %s", m.from, m.to, m.name) }

func (o *call) String() string {
	if o.declaration == nil {
		return fmt.Sprintf("read at %d", o.node)
	}
	return fmt.Sprintf("declaration %s at %d", o.declaration.Digest, o.node)
}

func (c *model) fly(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flying = append(c.flying, m)
}

func (c *model) remove(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flying = slices.DeleteFunc(c.flying, func(other *message) bool { return other == m })
}

// run has the acceptor do what a message asks.
func (c *model) run(m *message) answered {
	value, err := m.do()
	return answered{value, err}
}

// bring gives an answer to the owner that waits for it, if it still lives.
func (c *model) bring(m *message, a answered) {
	from := c.members[m.from]
	if m.back == nil || m.life != from.life {
		return
	}
	c.meet(m.from, fmt.Sprint(m.to, m.name, a))
	m.back <- a
}

// meet notes what a node's owner learns. The order of what it learns between two steps of its own does not matter to it.
func (c *model) meet(i int, what string) {
	m := c.members[i]
	if len(m.met) == 0 {
		m.met = [][]string{nil}
	}
	m.met[len(m.met)-1] = append(m.met[len(m.met)-1], what)
}

// group begins a new group for each owner that has taken a step since the last call, with what it has on its own disk: owners read that at
// their own steps alone.
func (c *model) group() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.sent > 0 {
			m.sent = 0
			m.met = append(m.met, []string{describe(m.acceptor.Read(modelKey))})
		}
	}
}

// describe tells records apart; one revision has one content, which check looks after.
func numberOf(m *member) uint64 { return numberIn(m.acceptor.Read(modelKey).Fields) }

// numberIn reads the number of a configuration that this test has written; one that cannot be read ends the test.
func numberIn(fields register.Fields) uint64 {
	number, err := config.Number(fields)
	if err != nil {
		panic(err)
	}
	return number
}

func describe(r register.Record) string { return fmt.Sprint(r.Promised, r.Revision, r.Committed) }

// restart ends a node with all that only its memory had, and starts it on its disk. Its owner's requests are still on their way.
func (c *model) restart(i int) {
	c.mu.Lock()
	for _, m := range c.flying {
		if m.from == i && m.back != nil {
			c.orphans = append(c.orphans, m.back)
			m.back = nil
		}
	}
	c.flying = slices.DeleteFunc(c.flying, func(m *message) bool { return m.from == i && m.answer != nil })
	c.mu.Unlock()
	c.start(i)
}

// ask begins the next order.
func (c *model) ask(o *call) {
	c.started++
	c.mu.Lock()
	c.running[o] = c.members[o.node].life
	c.mu.Unlock()
	owner, acceptor, life := c.members[o.node].owner, c.members[o.node].acceptor, c.members[o.node].life
	c.meet(o.node, o.String())
	c.note("begins: " + o.String())
	if o.declaration == nil {
		done := c.history.Read()
		go func() {
			revision, err := owner.Commit(context.Background(), modelKey, false)
			now := acceptor.Read(modelKey)
			shown := now.Revision == revision || revision.Less(now.Revision) && now.IsCommitted() // as a core's read does; it would wait for the rest
			if c.ends(o, life) && err == nil && shown {
				done(numberIn(now.Fields), linearizability.Items(config.Texts(now.Fields)))
				c.note(fmt.Sprint("shows ", numberIn(now.Fields), ": ", o))
			}
		}()
		return
	}
	done := c.history.Declare(linearizability.Of(*o.declaration))
	go func() {
		_, err := owner.Change(context.Background(), modelKey, func(now register.Fields, version uint64) (register.Fields, error) {
			return config.ApplyNumbered(now, version, *o.declaration)
		})
		if !c.ends(o, life) {
			return
		}
		outcome := linearizability.OutcomeOf(err)
		if outcome == linearizability.Acknowledged {
			c.mu.Lock()
			c.yes = append(c.yes, o.declaration.Order[0])
			c.mu.Unlock()
		}
		done(outcome)
		c.note(fmt.Sprint("ends with ", outcome, ": ", o))
	}()
}

// ends says whether an order's node still lives to answer it, and takes it off those under way.
func (c *model) ends(o *call, life int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, o)
	return !c.closed && c.members[o.node].life == life
}

func (c *model) isAnyRunning() bool {
	for o, life := range c.running {
		if c.members[o.node].life == life {
			return true
		}
	}
	return false
}

func (c *model) note(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, line)
}

func (c *model) found(err error) {
	if c.fault == nil {
		c.fault = err
	}
}

// check holds the state against the register's rules.
func (c *model) check() error {
	var records []register.Record
	for i, m := range c.members {
		r := m.acceptor.Read(modelKey)
		records = append(records, r)
		at := r.Revision
		if c.members[i].checked == at {
			continue
		}
		c.members[i].checked = at
		raw, _ := json.Marshal(r.Fields) // maps encode in the order of their names
		if was, met := c.contents[at]; met && was != string(raw) {
			c.found(fmt.Errorf("stamp %v has two contents; the other one is at node %d", at, i))
		}
		c.contents[at] = string(raw)
	}
	for _, quorum := range majorities(len(records)) {
		best := register.Record{}
		for _, i := range quorum {
			if best.Revision.Less(records[i].Revision) {
				best = records[i]
			}
		}
		for _, field := range c.yes {
			if best.Fields[field] == nil {
				c.found(fmt.Errorf("%s was acknowledged, and the majority %v knows nothing of it", field, quorum))
			}
		}
	}
	if err := c.history.Check(); err != nil {
		c.found(err)
	}
	return c.fault
}

// majorities lists the smallest ones of so many nodes.
func majorities(size int) (all [][]int) {
	for bits := range 1 << size {
		var quorum []int
		for i := range size {
			if bits>>i&1 == 1 {
				quorum = append(quorum, i)
			}
		}
		if len(quorum) == size/2+1 {
			all = append(all, quorum)
		}
	}
	return all
}

// fingerprint is equal for states with the same future: disks, messages under way, what each owner has met, and what operators have met.
func (c *model) fingerprint() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := fnv.New64a()
	put := func(parts ...any) { _, _ = fmt.Fprintln(h, parts...) }
	put(c.left, c.started)
	for _, m := range c.members {
		put(describe(m.acceptor.Read(modelKey)), len(m.met))
		for _, group := range m.met {
			put(slices.Sorted(slices.Values(group)))
		}
	}
	for _, m := range c.flying {
		put(m.from, m.life, m.to, m.name, m.back == nil, m.answer)
	}
	put(c.log)
	return h.Sum64()
}

// close lets all goroutines end.
func (c *model) close() {
	c.mu.Lock()
	c.closed = true
	waiting := c.orphans
	for _, m := range c.flying {
		if m.back != nil {
			waiting = append(waiting, m.back)
		}
	}
	c.mu.Unlock()
	for _, back := range waiting {
		back <- answered{err: errLost}
	}
}

// play runs one schedule in a bubble: next picks a step among those that are open, or none to end it. The first steps are not checked, for
// those that replay them.
func play(t *testing.T, s scenario, checked int, next func(c *model, open []choice) int) (steps []string, fault error) {
	synctest.Test(t, func(t *testing.T) {
		c := newModel(t, s)
		defer c.close()
		for {
			synctest.Wait()
			c.group()
			if len(steps) >= checked {
				if fault = c.check(); fault != nil {
					return
				}
			}
			open := c.choices()
			if len(open) == 0 {
				return
			}
			pick := next(c, open)
			if pick < 0 {
				return
			}
			steps = append(steps, open[pick].name)
			c.take(open, pick)
		}
	})
	return steps, fault
}

func schedule(steps []string) string { return "\n  " + strings.Join(steps, "\n  ") }
