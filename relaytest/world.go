// Package relaytest runs a relay of HTTP requests between a scripted client and scripted replicas on the simulated network, and judges both
// sides' ledgers (docs/control.md §5). Both ends misbehave by a seeded plan: they answer late, twice, in part or under another request's id,
// reset and forget connections, pipeline, leave midway, and smuggle. It knows no manner of speaking: a Speech names the headers.
package relaytest

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"asterridge/router"
	"asterridge/sim"
)

// Kind is the kind of a route.
type Kind int

// The kinds of routes. A stream may not be repeated unless it may be resumed.
const (
	Repeatable Kind = iota
	Once
	Stream
	Resumable
	kinds
)

// Refusal is a replica's answer that promises that the request was not executed.
type Refusal struct {
	Status int
	Lines  []string
	Body   string
}

// Speech is the form in which client and replicas communicate with the relay.
type Speech struct {
	Dialect     router.Protocol
	TagHeader   string // the client's name for a request; the relay hands it on
	IDHeader    string // the id that a replica's answer has to bear
	StampHeader string // of a replica's answer: unique to the run
	Stamped     bool   // a success without a stamp is no replica's
	LastHeader  string // of a stream that is taken up: the last event that the client has; empty: there is no such thing
	EndMark     string // after a stream's last event; empty: the framing tells the end
	Lines       func(kind Kind) []string
	Path        func(kind Kind) string
	Refusals    []Refusal
	Unpromised  []int         // statuses of refusals that promise nothing
	Deadline    time.Duration // of every route, from when the relay has read a request; an answer that is not whole by then may be cut
	Declare     func(s *sim.Testbed)
}

// Replicas are the addresses that the relay has to be configured with.
var Replicas = []string{"10.0.2.1:80", "10.0.2.2:80"}

// Sent is what the client has sent under one tag.
type Sent struct {
	Tag, Method, Target, Body string
	Kind                      Kind
	Last                      uint64 // of a stream that is taken up
	Times                     int
	Smuggled                  bool // inside another request: nobody has sent it
}

// IsRepeatable reports whether the request may be executed more than once.
func (s *Sent) IsRepeatable() bool { return s.Kind == Repeatable || s.Kind == Resumable }

// Run is what a replica did with one arrival of a request.
type Run struct {
	Tag, Method, Target, Body string
	Stamp                     string
	HasRun                    bool
	Status                    int
	Answer                    string // the whole body
	Complete                  bool   // all of it was sent, with its end
	Stream                    bool
	Proper                    bool // answered by the book
	Act                       string
	Ended                     time.Time // of what it sent; zero: not yet
}

// Got is what the client received as an answer.
type Got struct {
	Tag      string
	Status   int // 0: nothing
	Stamp    string
	Body     string
	Complete bool
	Unframed bool // nothing tells its end
	Patient  bool // the client sent all and waited; the connection was open
	Odd      bool // the request is malformed or smuggles
	Stray    string
	Why      error     // of no answer
	From     time.Time // when the client began to wait
}

// World is one seeded mix of client and replica behavior.
type World struct {
	Speech  Speech
	Testbed *sim.Testbed
	Address string // of the relay

	mu     sync.Mutex
	random *rand.Rand
	sent   map[string]*Sent
	order  []string
	runs   []*Run
	got    []Got
	tamed  bool // the replicas answer by the book from now on
	acts   []act
}

// Relay is what stands between client and replicas in a router's place.
type Relay func(s *sim.Testbed, speech Speech) http.Handler

// relayAddress is the address at which the relay serves.
const relayAddress = "10.0.1.1:7009"

// Mix configures what is played.
type Mix struct {
	Seed   uint64
	Speech Speech
	Router router.Options
	Only   string // beside whole answers, this act of replicas alone; empty: all of them
	Relay  Relay  // judged in the router's place; nil: the router
}

// Play runs one mix inside a synctest bubble and returns the findings.
func Play(m Mix) []Finding {
	m.Router.Protocol, m.Router.Seed = m.Speech.Dialect, m.Seed
	w := &World{Speech: m.Speech, Testbed: sim.NewTestbed(m.Router), Address: sim.TestbedAddress,
		random: rand.New(rand.NewPCG(m.Seed, 16)), sent: map[string]*Sent{}, acts: chosen(m.Only)}
	defer w.Testbed.Stop()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for _, address := range Replicas {
		w.listen(ctx, &running, address)
	}
	if m.Relay != nil {
		w.Address = relayAddress
		w.Testbed.Serve(relayAddress, m.Relay(w.Testbed, m.Speech))
	}
	m.Speech.Declare(w.Testbed)
	var clients sync.WaitGroup
	for n := range 1 + w.draw(3) {
		clients.Go(func() { w.client(n) })
	}
	clients.Wait()
	w.settle()
	return w.judge()
}

// settle makes replicas answer regularly, and sends requests until every slot of the relay must have been used.
func (w *World) settle() {
	w.mu.Lock()
	w.tamed = true
	w.mu.Unlock()
	time.Sleep(10 * time.Second) // what was late has come, what was left alone is drawn again
	for n := range 20 {
		w.plain(fmt.Sprintf("last-%d", n))
	}
}

// draw returns a random number below a bound.
func (w *World) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// pause waits for a random time.
func (w *World) pause(most time.Duration) {
	time.Sleep(time.Duration(w.draw(int(most/time.Millisecond)+1)) * time.Millisecond)
}

// dial connects to the relay.
func (w *World) dial() (net.Conn, error) {
	return w.Testbed.Net.Host(sim.CallerIP).DialContext(context.Background(), "tcp", w.Address)
}

// pieces returns the number of chunks of a stream, by its tag.
func pieces(tag string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(tag)) // a hash never fails
	return 2 + h.Sum64()%5
}
