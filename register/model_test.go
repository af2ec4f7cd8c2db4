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

// request is one request of an operator at one node: a write of a configuration, or a read if write is nil.
type request struct {
	node  int
	write *config.NumberedConfig
}

// writeRequest returns a request that adds one path, named after the configuration's number and a label, on top of a base.
func writeRequest(node int, number, base uint64, label string) request {
	name := fmt.Sprintf("p%d%s", number, label)
	b := config.Empty()
	b.Pools["web"] = config.Pool{Name: "web", Kind: "web"}
	b.Paths[name] = config.Path{Name: name, Address: "/" + name + "/", Pool: "web", DeadlineMs: 1000, Public: true, MaxBody: 1000, Cost: 1}
	d := &config.NumberedConfig{Number: number, BasedOn: base, Digest: fmt.Sprint(number, base, label), Items: b.Fields(),
		Texts: register.Fields{"path/" + name: json.RawMessage(`{}`)}, Order: []string{"path/" + name}}
	delete(d.Items, "hold")
	return request{node, d}
}

func readRequest(node int) request { return request{node: node} }

// faultBudget limits how often each kind of fault occurs in one schedule.
type faultBudget struct {
	losses, delays, duplicates, restarts int
	disks                                int // disks lost for good
}

// commitDelivery is how commit announcements reach the acceptors. They affect only speed, so small scenarios fix it to keep the number of
// schedules low.
type commitDelivery int

const (
	commitsScheduled commitDelivery = iota // delivered in any order, like all other messages
	commitsImmediate                       // delivered at once
	commitsLost                            // never delivered
)

// scenario is a small cluster with the requests sent to it.
type scenario struct {
	size           int
	requests       []request
	sequential     bool // a request begins only after the previous ones have ended
	faults         faultBudget
	commitDelivery commitDelivery
	injected       *injectedFault // nil: no injected fault
}

// injectedFault wraps the code under test with a fault that the model has to detect. Functions that are nil change nothing.
type injectedFault struct {
	wrapPeer    func(to int, real register.Peer) register.Peer // wraps an acceptor as seen by the owners
	selectPeers func(i int, all register.Peers) register.Peers // replaces the peers of node i's owner
	onRestart   func(d *sim.Disk)                              // called between the stop and the start of a node
	memberID    func(i int) uint32                             // replaces the member ID of node i
	wronglyLost func(i int) []int                              // nodes that node i takes for lost although they are not
}

// message is one request of an owner to an acceptor, in transit to it or, if response is set, on the way back.
type message struct {
	from, incarnation, to int
	name                  string // complete description of the request
	sentAt                int    // number of steps taken before it was sent
	deferred              bool   // a later message was delivered first
	do                    func() (any, error)
	response              *response
	reply                 chan response // nil: nobody waits for the response
}

type response struct {
	value any
	err   error
}

func (a response) String() string {
	if a.err != nil {
		return fmt.Sprint(apierror.Of(a.err).Code.Name, apierror.Of(a.err).At)
	}
	if record, ok := a.value.(register.Record); ok {
		return fmt.Sprint(describeRecord(record), len(record.Fields))
	}
	return "yes"
}

// member is one node: an acceptor with its disk, and an owner.
type member struct {
	disk            *sim.Disk
	acceptor        *register.Acceptor
	owner           *register.Owner
	incarnation     int
	checkedRevision register.Revision // last revision that check has verified
	lost            bool              // its disk is lost for good
	provenLost      map[int]bool      // the nodes that this one knows to be lost
	requestsSent    int               // requests that its owner has sent since the last observation group
	observations    [][]string        // what its owner has received since it started, in groups between two of its own steps
}

// model runs real acceptors and owners. Every message waits until the schedule delivers it.
type model struct {
	t          *testing.T
	scenario   scenario
	faultsLeft faultBudget
	members    []*member
	history    *linearizability.Recorder
	steps      int

	mu                 sync.Mutex
	inFlight           []*message
	abandoned          []chan response // reply channels of owners that were stopped by a restart
	closed             bool
	operatorLog        []string                     // what operators have seen, in order
	contents           map[register.Revision]string // JSON content of each revision, from whichever disk it was seen on first
	acknowledgedFields []string                     // fields of acknowledged writes
	requestsStarted    int                          // number of requests started
	running            map[*request]int             // requests in progress, with the incarnation of their node
	cuts               map[link]bool
	violation          error // the first violation found
}

const modelKey = config.Key

func newModel(t *testing.T, s scenario) *model {
	c := &model{t: t, scenario: s, faultsLeft: s.faults, history: &linearizability.Recorder{},
		contents: map[register.Revision]string{}, running: map[*request]int{}, cuts: map[link]bool{}}
	for i := range s.size {
		c.members = append(c.members, &member{disk: sim.NewDisk(), provenLost: map[int]bool{}})
		c.startNode(i)
	}
	return c
}

// startNode starts a node from its disk. The owner of the previous incarnation is discarded, and nobody waits for its answers.
func (c *model) startNode(i int) {
	m := c.members[i]
	m.incarnation++
	m.observations, m.requestsSent = nil, 0
	if c.scenario.injected != nil && c.scenario.injected.onRestart != nil && m.incarnation > 1 {
		c.scenario.injected.onRestart(m.disk)
	}
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: m.disk.Open(), OnChange: func(string, register.Record, register.Fields, bool) {},
		OnSkipped: func(_, file string, err error) { c.reportViolation(fmt.Errorf("file %s: %w", file, err)) }})
	if err != nil {
		c.t.Fatal(err)
	}
	m.acceptor = acceptor
	incarnation := m.incarnation
	m.owner = register.NewOwner(register.OwnerOptions{
		MemberID: func() uint32 {
			if c.scenario.injected != nil && c.scenario.injected.memberID != nil {
				return c.scenario.injected.memberID(i)
			}
			return uint32(i + 1)
		}, Acceptor: acceptor, Timeout: time.Hour,
		Voters: func(string) (register.Voters, error) {
			var all register.Peers
			lost := c.provenLost(i)
			for to := range c.members {
				if lost[to] {
					continue
				}
				var p register.Peer = modelPeer{c, i, incarnation, to}
				if c.scenario.injected != nil && c.scenario.injected.wrapPeer != nil {
					p = c.scenario.injected.wrapPeer(to, p)
				}
				all = append(all, p)
			}
			if c.scenario.injected != nil && c.scenario.injected.selectPeers != nil {
				all = c.scenario.injected.selectPeers(i, all)
			}
			return register.Voters{Peers: all, Lost: len(lost)}, nil
		},
	})
}

// modelPeer is an acceptor as seen by the owner of one incarnation of a node.
type modelPeer struct {
	c                     *model
	from, incarnation, to int
}

func (r modelPeer) send(name string, call func(*register.Acceptor) (any, error)) (any, error) {
	reply := make(chan response, 1)
	r.c.mu.Lock()
	if r.c.closed {
		r.c.mu.Unlock()
		return nil, errLost
	}
	if from := r.c.members[r.from]; from.incarnation == r.incarnation {
		from.requestsSent++
	}
	r.c.inFlight = append(r.c.inFlight, &message{from: r.from, incarnation: r.incarnation, to: r.to, name: name, reply: reply, sentAt: r.c.steps,
		do: func() (any, error) { return call(r.c.members[r.to].acceptor) }})
	r.c.mu.Unlock()
	a := <-reply
	return a.value, a.err
}

func (r modelPeer) Prepare(_ context.Context, key string, epoch uint64, known register.Revision) (register.Record, error) {
	value, err := r.send(fmt.Sprint("prepare ", epoch, known), func(a *register.Acceptor) (any, error) { return a.Prepare(key, epoch, known) })
	record, _ := value.(register.Record)
	return record, err
}

func (r modelPeer) Confirm(_ context.Context, key string, epoch uint64) error {
	_, err := r.send(fmt.Sprint("confirm ", epoch), func(a *register.Acceptor) (any, error) { return nil, a.Confirm(key, epoch) })
	return err
}

func (r modelPeer) Accept(_ context.Context, change register.Change) error {
	name := fmt.Sprint("accept ", change.Base, change.Next, change.Full, len(change.Fields)) // within one epoch a revision has one content
	_, err := r.send(name, func(a *register.Acceptor) (any, error) { return nil, a.Accept(change) })
	return err
}

func (r modelPeer) Commit(_ context.Context, key string, revision register.Revision) {
	switch r.c.scenario.commitDelivery {
	case commitsImmediate:
		r.c.members[r.to].acceptor.Commit(key, revision)
		return
	case commitsLost:
		return
	}
	_, _ = r.send(fmt.Sprint("record commit ", revision), func(a *register.Acceptor) (any, error) { a.Commit(key, revision); return nil, nil })
}

// stepKind is the kind of a step in a schedule.
type stepKind int

const (
	messageStep   stepKind = iota // a message is delivered, or a request begins
	linkRestoring                 // all links are restored
	messageFault                  // a message is lost, delayed or duplicated
	nodeRestart                   // a node restarts
)

// choice is one step that a schedule may take.
type choice struct {
	name    string
	message *message // the message that is delivered; nil for faults and requests
	kind    stepKind
	run     func()
}

// choices returns the steps that are possible now, in an order that depends only on the previous steps: messages by age, the next request,
// deferred messages, faults.
func (c *model) choices() (all []choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(c.inFlight, func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.from, b.from), cmp.Compare(a.incarnation, b.incarnation),
			cmp.Compare(a.name, b.name), cmp.Compare(a.to, b.to))
	})
	var deferred []choice
	for _, m := range c.inFlight {
		step := choice{m.String(), m, messageStep, func() { c.deliver(m) }}
		if m.response != nil {
			step = choice{"the delayed answer to " + m.String(), m, messageStep, func() { c.remove(m); c.deliverResponse(m, *m.response) }}
		}
		if c.isBlocked(m) {
			continue
		}
		if m.deferred {
			deferred = append(deferred, step)
		} else {
			all = append(all, step)
		}
	}
	if c.requestsStarted < len(c.scenario.requests) && !(c.scenario.sequential && c.isAnyRunning()) {
		o := &c.scenario.requests[c.requestsStarted]
		all = append(all, choice{o.String(), nil, messageStep, func() { c.startRequest(o) }})
	}
	if len(c.cuts) > 0 {
		deferred = append(deferred, choice{"all links are restored", nil, linkRestoring, func() { clear(c.cuts) }})
	}
	return slices.Concat(all, deferred, c.faultChoices())
}

// link is one direction between two nodes.
type link struct{ from, to int }

// isBlocked reports whether a cut link blocks the next delivery of a message.
func (c *model) isBlocked(m *message) bool {
	if m.response != nil {
		return c.cuts[link{m.to, m.from}]
	}
	return c.cuts[link{m.from, m.to}]
}

// deliver delivers a message to its acceptor, and also the response unless the link back is cut.
func (c *model) deliver(m *message) {
	a := c.execute(m)
	if c.cuts[link{m.to, m.from}] {
		m.response = &a
		return
	}
	c.remove(m)
	c.deliverResponse(m, a)
}

// take takes one of the possible steps. Messages listed before it are deferred, so that schedules that follow the order of choices deliver
// them last.
func (c *model) take(open []choice, pick int) {
	for _, passed := range open[:pick] {
		if passed.message != nil && open[pick].message != nil {
			passed.message.deferred = true
		}
	}
	c.steps++
	open[pick].run()
}

func (c *model) faultChoices() (all []choice) {
	for _, m := range c.inFlight {
		if m.response != nil || m.reply == nil || c.isBlocked(m) {
			continue
		}
		if c.faultsLeft.losses > 0 {
			all = append(all,
				choice{"loss of " + m.String(), nil, messageFault, func() { c.faultsLeft.losses--; c.remove(m); c.deliverResponse(m, response{err: errLost}) }},
				choice{"loss of the answer to " + m.String(), nil, messageFault, func() { c.faultsLeft.losses--; c.remove(m); c.execute(m); c.deliverResponse(m, response{err: errLost}) }})
		}
		if c.faultsLeft.delays > 0 {
			all = append(all, choice{"delay of the answer to " + m.String(), nil, messageFault, func() { c.faultsLeft.delays--; a := c.execute(m); m.response = &a }})
		}
		if c.faultsLeft.duplicates > 0 {
			all = append(all, choice{"duplicate of " + m.String(), nil, messageFault, func() {
				c.faultsLeft.duplicates--
				c.remove(m)
				c.deliverResponse(m, c.execute(m))
				c.addInFlight(&message{from: m.from, incarnation: m.incarnation, to: m.to, name: m.name, do: m.do, sentAt: c.steps})
			}})
		}
	}
	all = append(all, c.diskLossChoices()...)
	if c.faultsLeft.restarts > 0 {
		for i, m := range c.members {
			if m.lost {
				continue
			}
			all = append(all, choice{fmt.Sprint("restart of ", i), nil, nodeRestart, func() { c.faultsLeft.restarts--; c.restart(i) }})
		}
	}
	return all
}

func (m *message) String() string { return fmt.Sprintf("%d→%d %s", m.from, m.to, m.name) }

func (o *request) String() string {
	if o.write == nil {
		return fmt.Sprintf("read at %d", o.node)
	}
	return fmt.Sprintf("write %s at %d", o.write.Digest, o.node)
}

func (c *model) addInFlight(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = append(c.inFlight, m)
}

func (c *model) remove(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = slices.DeleteFunc(c.inFlight, func(other *message) bool { return other == m })
}

// execute has the acceptor execute the request of a message.
func (c *model) execute(m *message) response {
	if c.members[m.to].lost {
		return response{err: errLost}
	}
	value, err := m.do()
	return response{value, err}
}

// deliverResponse passes a response to the waiting owner, unless the owner's node has restarted.
func (c *model) deliverResponse(m *message, a response) {
	from := c.members[m.from]
	if m.reply == nil || m.incarnation != from.incarnation {
		return
	}
	c.recordObservation(m.from, fmt.Sprint(m.to, m.name, a))
	m.reply <- a
}

// recordObservation records what a node's owner receives. The order of what it receives between two of its own steps doesn't matter to it.
func (c *model) recordObservation(i int, what string) {
	m := c.members[i]
	if len(m.observations) == 0 {
		m.observations = [][]string{nil}
	}
	m.observations[len(m.observations)-1] = append(m.observations[len(m.observations)-1], what)
}

// startObservationGroups starts a new group for each owner that has sent requests since the last call. The group begins with the state of
// the owner's own disk, which owners read only at their own steps.
func (c *model) startObservationGroups() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.requestsSent > 0 {
			m.requestsSent = 0
			m.observations = append(m.observations, []string{describeRecord(m.acceptor.Read(modelKey))})
		}
	}
}

func numberOf(m *member) uint64 { return numberIn(m.acceptor.Read(modelKey).Fields) }

// numberIn returns the number of a configuration that this test has written. It panics if the fields can't be decoded.
func numberIn(fields register.Fields) uint64 {
	number, err := config.Number(fields)
	if err != nil {
		panic(err)
	}
	return number
}

// describeRecord distinguishes records. The fields are left out, because check verifies that a revision has only one content.
func describeRecord(r register.Record) string { return fmt.Sprint(r.Promised, r.Revision, r.Committed) }

// restart stops a node, which loses its memory, and starts it again from its disk. Requests of its previous owner remain in transit.
func (c *model) restart(i int) {
	c.mu.Lock()
	for _, m := range c.inFlight {
		if m.from == i && m.reply != nil {
			c.abandoned = append(c.abandoned, m.reply)
			m.reply = nil
		}
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(m *message) bool { return m.from == i && m.response != nil })
	c.mu.Unlock()
	c.startNode(i)
}

// startRequest starts the next request.
func (c *model) startRequest(o *request) {
	c.requestsStarted++
	for c.members[o.node].lost {
		o.node = (o.node + 1) % len(c.members)
	}
	c.mu.Lock()
	c.running[o] = c.members[o.node].incarnation
	c.mu.Unlock()
	owner, acceptor, incarnation := c.members[o.node].owner, c.members[o.node].acceptor, c.members[o.node].incarnation
	c.recordObservation(o.node, o.String())
	c.logOperator("started: " + o.String())
	if o.write == nil {
		done := c.history.Read()
		go func() {
			revision, err := owner.Commit(context.Background(), modelKey, false)
			now := acceptor.Read(modelKey)
			shown := now.Revision == revision || revision.Less(now.Revision) && now.IsCommitted() // as in a core's read, which would wait if this were false
			if c.finish(o, incarnation) && err == nil && shown {
				done(numberIn(now.Fields), linearizability.Items(config.Texts(now.Fields)))
				c.logOperator(fmt.Sprint("read ", numberIn(now.Fields), ": ", o))
			}
		}()
		return
	}
	done := c.history.Declare(linearizability.Of(*o.write))
	go func() {
		_, err := owner.Change(context.Background(), modelKey, func(now register.Fields, version uint64) (register.Fields, error) {
			return config.ApplyNumbered(now, version, *o.write)
		})
		if !c.finish(o, incarnation) {
			return
		}
		outcome := linearizability.OutcomeOf(err)
		if outcome == linearizability.Acknowledged {
			c.mu.Lock()
			c.acknowledgedFields = append(c.acknowledgedFields, o.write.Order[0])
			c.mu.Unlock()
		}
		done(outcome)
		c.logOperator(fmt.Sprint("ended with ", outcome, ": ", o))
	}()
}

// finish removes a request from those in progress, and reports whether its node has not restarted since and can still answer it.
func (c *model) finish(o *request, incarnation int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, o)
	return !c.closed && c.members[o.node].incarnation == incarnation
}

func (c *model) isAnyRunning() bool {
	for o, incarnation := range c.running {
		if c.members[o.node].incarnation == incarnation {
			return true
		}
	}
	return false
}

func (c *model) logOperator(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.operatorLog = append(c.operatorLog, line)
}

func (c *model) reportViolation(err error) {
	if c.violation == nil {
		c.violation = err
	}
}

// check verifies the invariants of the register in the present state, and the history seen by the operators.
func (c *model) check() error {
	var records []register.Record
	for i, m := range c.members {
		if m.lost {
			continue
		}
		r := m.acceptor.Read(modelKey)
		records = append(records, r)
		at := r.Revision
		if c.members[i].checkedRevision == at {
			continue
		}
		c.members[i].checkedRevision = at
		raw, _ := json.Marshal(r.Fields) // maps are encoded with sorted keys
		if was, seen := c.contents[at]; seen && was != string(raw) {
			c.reportViolation(fmt.Errorf("revision %v has two contents; the second one is at node %d", at, i))
		}
		c.contents[at] = string(raw)
	}
	lost := len(c.members) - len(records)
	needed := register.Voters{Peers: make(register.Peers, len(records)), Lost: lost}.Quorum()
	for _, quorum := range subsets(len(records), needed) {
		best := register.Record{}
		for _, i := range quorum {
			if best.Revision.Less(records[i].Revision) {
				best = records[i]
			}
		}
		for _, field := range c.acknowledgedFields {
			if best.Fields[field] == nil {
				c.reportViolation(fmt.Errorf("%s was acknowledged, but is missing in majority %v of the nodes that are left", field, quorum))
			}
		}
	}
	if err := c.history.Check(); err != nil {
		c.reportViolation(err)
	}
	return c.violation
}

// subsets returns all subsets of a number of nodes that have that many.
func subsets(size, count int) (all [][]int) {
	for bits := range 1 << size {
		var quorum []int
		for i := range size {
			if bits>>i&1 == 1 {
				quorum = append(quorum, i)
			}
		}
		if len(quorum) == count {
			all = append(all, quorum)
		}
	}
	return all
}

// fingerprint is equal for states with the same possible continuations. It covers the disks, the messages in transit, what each owner has
// received, and what operators have seen.
func (c *model) fingerprint() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := fnv.New64a()
	put := func(parts ...any) { _, _ = fmt.Fprintln(h, parts...) }
	put(c.faultsLeft, c.requestsStarted)
	for _, m := range c.members {
		put(describeRecord(m.acceptor.Read(modelKey)), len(m.observations), m.lost, m.provenLost)
		for _, group := range m.observations {
			put(slices.Sorted(slices.Values(group)))
		}
	}
	for _, m := range c.inFlight {
		put(m.from, m.incarnation, m.to, m.name, m.reply == nil, m.response)
	}
	put(c.operatorLog)
	return h.Sum64()
}

// close makes all goroutines end.
func (c *model) close() {
	c.mu.Lock()
	c.closed = true
	waiting := c.abandoned
	for _, m := range c.inFlight {
		if m.reply != nil {
			waiting = append(waiting, m.reply)
		}
	}
	c.mu.Unlock()
	for _, reply := range waiting {
		reply <- response{err: errLost}
	}
}

// runSchedule runs one schedule in a synctest bubble. The function next picks one of the possible steps, or returns a negative number to
// end the schedule. States before step number checked are not checked, for schedules that replay a known prefix.
func runSchedule(t *testing.T, s scenario, checked int, next func(c *model, open []choice) int) (steps []string, fault error) {
	synctest.Test(t, func(t *testing.T) {
		c := newModel(t, s)
		defer c.close()
		for {
			synctest.Wait()
			c.startObservationGroups()
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

func formatSteps(steps []string) string { return "\n  " + strings.Join(steps, "\n  ") }
