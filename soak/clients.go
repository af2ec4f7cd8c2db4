package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the clients.
const (
	shortDeadline = 6 * time.Second
	longDeadline  = 30 * time.Second
	// answerSlack is how much longer than a request's deadline its client waits, and how late its answer may be.
	answerSlack = time.Second
	maxIdle     = 1500 * time.Millisecond
	uploadGap   = 150 * time.Millisecond
)

// manner is how a client sends a request and takes its answer.
type manner struct {
	name   string
	weight int
	do     func(c *client, connection *Connection) (usable bool)
}

// manners are the ways in which clients use their connections.
var manners = []manner{
	{"plain", 40, func(c *client, connection *Connection) bool { return c.exchange(connection, "plain", c.pickWork(), 1) }},
	{"slow upload", 8, func(c *client, connection *Connection) bool {
		return c.exchange(connection, "slow upload", c.pickWork(), 2+c.random.IntN(8))
	}},
	{"after a rest", 10, func(c *client, connection *Connection) bool {
		sleep(c.ctx, time.Duration(c.random.Int64N(int64(maxIdle))))
		return c.exchange(connection, "after a rest", c.pickWork(), 1)
	}},
	{"long stream", 8, func(c *client, connection *Connection) bool {
		return c.exchange(connection, "long stream", c.pickLongStream(), 1)
	}},
	{"pipelined", 12, (*client).pipeline},
	{"canceled", 6, (*client).cancel},
}

// client is one client, which uses its connections until they are closed.
type client struct {
	ctx    context.Context
	fleet  *Fleet
	doors  *doors
	name   string
	random *rand.Rand
	count  int
}

// run sends requests until the context ends.
func (c *client) run() {
	for c.ctx.Err() == nil {
		connection, err := Connect(c.fleet.System.Speech(), c.doors.pick(c.random))
		if err != nil {
			sleep(c.ctx, restartDelay/4)
			continue
		}
		for c.ctx.Err() == nil && c.pickManner().do(c, connection) {
			sleep(c.ctx, time.Duration(c.random.IntN(30))*time.Millisecond)
		}
		connection.Close()
	}
}

// pickManner draws a way to send.
func (c *client) pickManner() manner {
	total := 0
	for _, m := range manners {
		total += m.weight
	}
	n := c.random.IntN(total)
	for _, m := range manners {
		if n -= m.weight; n < 0 {
			return m
		}
	}
	return manners[0]
}

// pickWork draws what a replica is to do: mostly little.
func (c *client) pickWork() Work {
	kinds := int(kindCount)
	if c.fleet.System.Speech().LastHeader == "" {
		kinds--
	}
	w := Work{Kind: Kind(c.random.IntN(kinds)), Gap: time.Duration(c.random.IntN(200)) * time.Millisecond, Size: c.random.IntN(2000)}
	if w.Kind.IsStream() {
		w.Chunks, w.Gap, w.Size = 1+c.random.IntN(20), time.Duration(5+c.random.IntN(80))*time.Millisecond, c.random.IntN(200)
	}
	return w
}

// pickLongStream draws a stream that may last through a whole grace.
func (c *client) pickLongStream() Work {
	const chunks = 40
	length := c.fleet.Size.Grace/4 + time.Duration(c.random.Int64N(int64(c.fleet.Size.Grace)))
	return Work{Kind: Stream, Chunks: chunks, Gap: length / chunks, Size: 50}
}

// attempt begins the record of a request.
func (c *client) attempt(connection *Connection, name string, w Work, after uint64) *Attempt {
	c.count++
	deadline := shortDeadline
	if w.Length() > shortDeadline/2 {
		deadline = longDeadline
	}
	return connection.NewAttempt(fmt.Sprintf("%s-%d", c.name, c.count), name, w, deadline, after)
}

// body is what a request uploads.
func (c *client) body() string { return strings.Repeat("b", c.random.IntN(3000)) }

// exchange sends one request and takes its answer. A stream that was cut and may be resumed is.
func (c *client) exchange(connection *Connection, name string, w Work, chunks int) (usable bool) {
	a := c.attempt(connection, name, w, 0)
	usable = c.send(connection, a, chunks) && c.receive(connection, a)
	if !usable && a.Status/100 == 2 && !a.Complete && w.Kind == Resumable {
		c.resume(a)
	}
	return usable
}

func (c *client) send(connection *Connection, a *Attempt, chunks int) bool {
	err := connection.Send(a, c.body(), chunks, uploadGap)
	if err != nil {
		a.Ended = time.Now()
		c.fleet.Ledger.recordAttempt(a)
	}
	return err == nil
}

func (c *client) receive(connection *Connection, a *Attempt) (usable bool) {
	usable = connection.Receive(a, a.Sent.Add(a.Deadline+answerSlack))
	c.fleet.Ledger.recordAttempt(a)
	return usable
}

// resume takes a stream up at another connection, behind the last event that came whole.
func (c *client) resume(broken *Attempt) {
	connection, err := Connect(c.fleet.System.Speech(), c.doors.pick(c.random))
	if err != nil {
		return
	}
	defer connection.Close()
	a := c.attempt(connection, "resumed", broken.Work, lastEvent(broken.Body))
	if c.send(connection, a, 1) {
		c.receive(connection, a)
	}
}

// lastEvent is the number of the last whole event of a stream.
func lastEvent(body string) (last uint64) {
	events := strings.Split(body, "\n\n")
	for _, event := range events[:len(events)-1] {
		text, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			last = n
		}
	}
	return last
}

// pipeline sends a request while the answer to the one before is under way.
func (c *client) pipeline(connection *Connection) (usable bool) {
	first := c.attempt(connection, "pipelined, first", c.pickWork(), 0)
	if !c.send(connection, first, 1) {
		return false
	}
	sleep(c.ctx, time.Duration(c.random.Int64N(int64(lossSlack/2)))) // its end is seen in time
	second := c.attempt(connection, "pipelined, second", c.pickWork(), 0)
	second.Behind = first
	sent := connection.Send(second, c.body(), 1, 0) == nil
	usable = c.receive(connection, first)
	if !sent {
		return false
	}
	// What is due after a connection's last answer does not come; the wait ends with the connection.
	return c.receive(connection, second) && usable
}

// cancel sends a request and leaves before its answer is whole.
func (c *client) cancel(connection *Connection) (usable bool) {
	a := c.attempt(connection, "canceled", c.pickLongStream(), 0)
	a.CanceledByClient = true
	if c.send(connection, a, 1) {
		sleep(c.ctx, time.Duration(c.random.IntN(500))*time.Millisecond)
		a.Ended = time.Now()
		c.fleet.Ledger.recordAttempt(a)
	}
	return false
}

// doors knows which edge machines new connections are led to: those that did not miss two checks of readiness in a row.
type doors struct {
	fleet *Fleet
	mu    sync.Mutex
	open  []Machine
}

// unreadyRatio is one in so many connections that goes to any edge machine, ready or not.
const unreadyRatio = 10

// watch asks all edge machines again and again until the context ends.
func (d *doors) watch(ctx context.Context) {
	const interval, misses = 500 * time.Millisecond, 2
	missed := map[string]int{}
	for ctx.Err() == nil {
		var open []Machine
		for _, m := range d.fleet.Edges() {
			missed[m.Name]++
			if d.fleet.IsReady(ctx, m) {
				missed[m.Name] = 0
			}
			if missed[m.Name] < misses {
				open = append(open, m)
			}
		}
		d.mu.Lock()
		d.open = open
		d.mu.Unlock()
		sleep(ctx, interval)
	}
}

// pick gives the edge machine of a new connection.
func (d *doors) pick(random *rand.Rand) Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	if all := d.fleet.Edges(); len(d.open) == 0 || random.IntN(unreadyRatio) == 0 {
		return all[random.IntN(len(all))]
	}
	return d.open[random.IntN(len(d.open))]
}
