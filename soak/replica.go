package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"asterridge/rpc"
)

// Kind is the kind of a route.
type Kind int

// The kinds of routes. A stream may not be repeated unless it may be resumed.
const (
	Idempotent Kind = iota
	Once
	Stream
	Resumable
	kindCount
)

// String names the kind as the routes of a soak do.
func (k Kind) String() string { return [kindCount]string{"again", "once", "stream", "resumed"}[k] }

// IsIdempotent reports whether a request of the kind may be executed more than once.
func (k Kind) IsIdempotent() bool { return k == Idempotent || k == Resumable }

// IsStream reports whether a request of the kind is answered by events.
func (k Kind) IsStream() bool { return k == Stream || k == Resumable }

// Speech is the form in which clients and replicas communicate with the fleet.
type Speech struct {
	Host        string
	TagHeader   string // the client's name for a request; it is handed on
	IDHeader    string // the id that a replica's answer has to bear
	StampHeader string // of a replica's answer: unique to the run
	LastHeader  string // of a stream that is taken up: the last event that the client has; empty: there is no such thing
	StreamEnd   string // after a stream's last event; empty: the framing tells the end
	// Lines are the header lines of a request that the client waits for so long.
	Lines func(kind Kind, deadline time.Duration) []string
	// Serve adds what replicas serve besides requests.
	Serve func(mux *http.ServeMux, r *Replica)
}

// Work tells a replica what to do with a request. Clients put it into the request's path, which reaches replicas unchanged.
type Work struct {
	Kind   Kind
	Chunks int           // of a stream
	Gap    time.Duration // before each piece; before the answer, where there are none
	Size   int           // of the answer, or of each piece
}

// Path is the path of a request for the work.
func (w Work) Path() string {
	return fmt.Sprintf("/%s/%d/%d/%d", w.Kind, w.Chunks, w.Gap.Milliseconds(), w.Size)
}

// readWork reads a request's path.
func readWork(path string) (w Work, err error) {
	var kind string
	var gap int
	_, err = fmt.Sscanf(strings.ReplaceAll(path, "/", " "), "%s %d %d %d", &kind, &w.Chunks, &gap, &w.Size)
	for w.Kind = 0; w.Kind < kindCount && w.Kind.String() != kind; w.Kind++ {
	}
	w.Gap = time.Duration(gap) * time.Millisecond
	if w.Kind == kindCount {
		err = fmt.Errorf("no kind %q", kind)
	}
	return w, err
}

// Length is how long the work takes.
func (w Work) Length() time.Duration { return time.Duration(max(1, w.Chunks)) * w.Gap }

// Run is a replica's record of one request that it executed.
type Run struct {
	Tag, Stamp, Replica string
	Began, Ended        time.Time
	Body                string // as far as it was written
	Complete            bool   // all of it was written, with its end
	After               uint64 // the last event that the client had
}

// Replica is a fake replica: it does what a request's path says, and records it.
type Replica struct {
	Name, Address string
	speech        Speech
	record        func(Run)
	draining      atomic.Bool
	number        atomic.Uint64
	server        http.Server
	running       sync.WaitGroup
}

// startReplica starts a replica at an address. Each run is noted when it begins and once more when it has ended.
func startReplica(name, address string, speech Speech, record func(Run)) (*Replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Replica{Name: name, Address: address, speech: speech, record: record}
	mux := http.NewServeMux()
	speech.Serve(mux, r)
	mux.HandleFunc("/", r.serve)
	r.server.Handler = mux
	r.running.Go(func() { _ = r.server.Serve(listener) }) // it ends when the soak does
	return r, nil
}

// stop ends the replica.
func (r *Replica) stop() {
	_ = r.server.Close() // what is open ends with the soak
	r.running.Wait()
}

// Draining reports whether the replica is about to leave.
func (r *Replica) Draining() bool { return r.draining.Load() }

// serve executes one request.
func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	work, err := readWork(q.URL.Path)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return // the request did not arrive whole: it is not executed
	}
	after, _ := strconv.ParseUint(q.Header.Get(r.speech.LastHeader), 10, 64) // none: from the beginning
	run := Run{
		Tag: q.Header.Get(r.speech.TagHeader), Replica: r.Name, Began: time.Now(), After: after,
		Stamp: fmt.Sprintf("%s.%d", r.Name, r.number.Add(1)),
	}
	r.record(run)
	if r.Draining() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(r.speech.IDHeader, q.Header.Get(r.speech.IDHeader))
	w.Header().Set(r.speech.StampHeader, run.Stamp)
	if work.Kind.IsStream() {
		run.Body, run.Complete = r.stream(q.Context(), w, work, run)
	} else {
		run.Body, run.Complete = r.answer(q.Context(), w, work, run)
	}
	run.Ended = time.Now()
	r.record(run)
}

// answer writes an answer of one piece.
func (r *Replica) answer(ctx context.Context, w http.ResponseWriter, work Work, run Run) (body string, complete bool) {
	if !sleep(ctx, work.Gap) {
		return "", false
	}
	body = fmt.Sprintf("%s %s %s", run.Tag, run.Stamp, strings.Repeat("y", work.Size))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	return body, err == nil
}

// stream writes a stream of events, each when it is due.
func (r *Replica) stream(ctx context.Context, w http.ResponseWriter, work Work, run Run) (body string, complete bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	out, flush := bufio.NewWriter(w), http.NewResponseController(w)
	due := run.Began
	for n := run.After + 1; n <= uint64(work.Chunks); n++ {
		due = due.Add(work.Gap)
		if !sleep(ctx, time.Until(due)) {
			return body, false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, run.Tag, strings.Repeat("x", work.Size))
		_, _ = out.WriteString(event) // the flush tells
		if out.Flush() != nil || flush.Flush() != nil {
			return body, false
		}
		body += event
	}
	_, err := io.WriteString(w, r.speech.StreamEnd)
	return body + r.speech.StreamEnd, err == nil
}

// sleep waits, and says whether it did so to the end: the context has not ended.
func sleep(ctx context.Context, d time.Duration) bool { return rpc.Sleep(ctx, d) == nil }

// replicaClose is how long requests that a replica runs may take when it has left.
const replicaClose = 30 * time.Second

// drainReplica has one of the replicas drain: it is listed so, and serves on.
func (f *Fleet) drainReplica(n int) *Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.Replicas[n%len(f.Replicas)]
	r.draining.Store(true)
	return r
}

// replaceReplica takes a replica that has drained off the list, and starts another one in its place.
func (f *Fleet) replaceReplica(drained *Replica) {
	f.mu.Lock()
	at := slices.Index(f.Replicas, drained)
	f.mu.Unlock()
	if at < 0 {
		return // another series has replaced it
	}
	host, _, _ := net.SplitHostPort(drained.Address) // it was made by us
	f.nextReplicaPort.Add(1)
	address := net.JoinHostPort(host, strconv.Itoa(replicaPort+int(f.nextReplicaPort.Load())))
	next, err := startReplica(fmt.Sprintf("%s+%d", drained.Name, f.nextReplicaPort.Load()), address, f.System.Speech(), f.Ledger.recordRun)
	if err != nil {
		f.Ledger.fail("replica: %v", err)
		return
	}
	f.mu.Lock()
	f.Replicas = slices.Clone(f.Replicas)
	f.Replicas[at] = next
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), replicaClose)
	defer cancel()
	_ = drained.server.Shutdown(ctx) // what runs there ends first
	drained.running.Wait()
}

// ListedReplicas are the replicas that the list has.
func (f *Fleet) ListedReplicas() []*Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Replicas
}
