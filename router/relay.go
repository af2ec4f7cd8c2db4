package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"asterridge/apierror"
)

// Sizes in bytes, and the times of a relayed answer.
const (
	tailSize            = 64
	chunkSize           = 32 << 10
	chunkTimeoutDefault = 60 * time.Second // between two pieces of a stream
	// answerSlack is for the way of what a replica sent before the deadline that it was told.
	answerSlack = 200 * time.Millisecond
)

// chunkBuffers are buffers that streams use in turn.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// relay passes the answer on as it comes (docs/design.md §5.6). If a stream breaks off, the client's connection is aborted: an answer that
// ends in order would look complete.
func (r *Router) relay(_ context.Context, w http.ResponseWriter, response any) error {
	x := response.(*Exchange)
	a := x.Answer
	for name, values := range a.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade":
		default:
			w.Header()[name] = values
		}
	}
	w.Header().Set(AttemptsHeader, strconv.Itoa(x.Attempt+1))
	w.Header().Set("X-Waited-Ms", strconv.FormatInt(x.Sent.Sub(x.Received).Milliseconds(), 10))
	w.Header().Set(VersionHeader, strconv.FormatUint(x.View.Version.Version, 10))
	w.WriteHeader(a.Status)
	err := r.relayBody(w, x)
	x.Answer.end(err)
	if err != nil && !x.Request.ProtoAtLeast(1, 1) {
		resetOnClose(x.Request)
	}
	if err == nil {
		x.Pool.answers.observe(time.Since(x.Sent))
		r.step(x, Done, "")
		r.reportClaim(x, "ran")
		return nil
	}
	if x.Request.Context().Err() != nil {
		err = apierror.New(apierror.ClientGone, "left during the answer")
	} else {
		err = apierror.Wrap(err, apierror.StreamBroken, "relay")
		r.log.Warn().Str("request", x.ID).Str("replica", x.replica.Name).Err(err).Msg("stream broke off at a replica")
	}
	r.counts.reject(apierror.Of(err).Code)
	r.step(x, Failed, err.Error())
	r.reportClaim(x, "unknown")
	panic(http.ErrAbortHandler)
}

// chunkTimeout is how long the next chunk of an answer is waited for. A replica that is told the deadline ends its answer by then. Until
// then its silence is no reason to end the answer, and after that nothing is to be expected of it.
func (r *Router) chunkTimeout(x *Exchange) time.Duration {
	if r.options.Protocol.SendsDeadline() {
		return max(0, time.Until(x.Deadline)+answerSlack)
	}
	return chunkTimeoutDefault
}

// errBroken is a stream that the replica broke off.
type errBroken struct{ cause error }

func (e errBroken) Error() string { return e.cause.Error() }
func (e errBroken) Unwrap() error { return e.cause }

// relayBody passes the answer's bytes on. A stream that may be resumed goes on at another replica, after the last event that the client has
// in full (docs/design.md §5.7).
func (r *Router) relayBody(w http.ResponseWriter, x *Exchange) error {
	flush := http.NewResponseController(w)
	stream := eventStream{lastID: x.LastEventID, skipThrough: x.LastEventID}
	for {
		err := r.relayReplica(w, flush, x, &stream)
		var broken errBroken
		if err == nil || !errors.As(err, &broken) || x.Answer.buffer == nil || !x.Path.Resumable || x.Request.Context().Err() != nil || !time.Now().Before(x.Deadline) {
			return err
		}
		x.LastEventID = stream.lastID
		stream.dropPartial()
		stream.skipThrough = stream.lastID
		if failure := r.resume(x, err); failure != nil {
			return apierror.Wrap(err, apierror.StreamBroken, failure.Error())
		}
	}
}

// resume has the stream go on at another replica, under the budget of retries.
func (r *Router) resume(x *Exchange, cause error) error {
	x.Answer.end(cause)
	r.coolDown(x.replica)
	x.resumedPlacement = x.placement
	if err := r.payRetry(x, cause); err != nil {
		return err
	}
	r.counts.add("resumed", 1)
	ctx, stop := context.WithDeadline(x.Request.Context(), x.Deadline)
	defer stop()
	if err := r.attempt(ctx, x, r.onward); err != nil {
		return err
	}
	if x.Answer.Status != http.StatusOK || x.Answer.buffer == nil {
		return apierror.New(apierror.StreamBroken, "the other replica answered %d", x.Answer.Status)
	}
	return nil
}

// replicaRelay passes one replica's answer on to the client.
type replicaRelay struct {
	router *Router
	w      http.ResponseWriter
	flush  *http.ResponseController
	x      *Exchange
	stream *eventStream
	// resumable: the client gets complete events only, so that the stream can go on at another replica.
	resumable bool
	// tail is the end of what was passed on, where the stream's own end marker is looked for.
	tail []byte
}

// relayReplica passes on what one replica sends. The error is errBroken if the replica broke the answer off.
func (r *Router) relayReplica(w http.ResponseWriter, flush *http.ResponseController, x *Exchange, stream *eventStream) error {
	a := x.Answer
	// A client that stops reading is not waited for without end; a writer that knows no deadlines has its own bounds.
	_ = flush.SetWriteDeadline(time.Now().Add(r.chunkTimeout(x))) // see above
	if a.Complete {
		_, err := w.Write(a.firstChunk)
		return err
	}
	events := a.buffer != nil
	if !events {
		a.buffer = chunkBuffers.Get().(*[chunkSize]byte)
	}
	defer func() {
		chunkBuffers.Put(a.buffer) // the first chunk, which lies in it, is written by then
		if !events {
			a.buffer = nil
		}
	}()
	relay := &replicaRelay{router: r, w: w, flush: flush, x: x, stream: stream, resumable: events && x.Path.Resumable}
	return relay.run()
}

// run passes on the first chunk, and then each as it comes. A replica that sends none for the chunk's time-out is cut off.
func (p *replicaRelay) run() error {
	a := p.x.Answer
	if err := p.pass(a.firstChunk); err != nil {
		return err
	}
	timer := time.AfterFunc(p.router.chunkTimeout(p.x), func() { _ = a.Body.Close() }) // which ends the read below
	defer timer.Stop()
	for {
		n, err := a.Body.Read(a.buffer[:])
		if n > 0 {
			timeout := p.router.chunkTimeout(p.x)
			timer.Reset(timeout)
			_ = p.flush.SetWriteDeadline(time.Now().Add(timeout)) // as above
			if err := p.pass(a.buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return p.end()
		}
		if err != nil {
			return errBroken{err}
		}
	}
}

// pass writes a chunk at once; of a resumable stream, the events that are complete.
func (p *replicaRelay) pass(chunk []byte) error {
	p.tail = append(p.tail, chunk[max(0, len(chunk)-tailSize):]...)
	p.tail = append(p.tail[:0], p.tail[max(0, len(p.tail)-tailSize):]...)
	if p.resumable {
		if chunk = p.stream.complete(chunk); len(chunk) == 0 {
			return nil
		}
	}
	if _, err := p.w.Write(chunk); err != nil {
		return err
	}
	return p.flush.Flush()
}

// end makes sure that the answer is complete, and writes what follows its last complete event.
func (p *replicaRelay) end() error {
	if a := p.x.Answer; a.AtEnd != nil && !a.AtEnd(p.tail) {
		return errBroken{apierror.New(apierror.StreamBroken, "no end mark")}
	}
	unfinished := p.stream.dropPartial()
	if len(unfinished) == 0 {
		return nil
	}
	_, err := p.w.Write(unfinished)
	return err
}

// eventStream cuts a stream into complete events, and knows the last one's ID.
type eventStream struct {
	lastID  uint64
	buffer  []byte // what was taken last
	partial []byte // of it, the event that is not whole yet
	// skipThrough is the last event that the client has from an earlier answer: a replica that begins again sends it once more. It is zero
	// from the first later event on.
	skipThrough uint64
}

// eventEnd gives where the last complete event ends; 0 if there is none.
func eventEnd(b []byte) int {
	last := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(b, end); at >= 0 {
			last = max(last, at+len(end))
		}
	}
	return last
}

// complete gives the events that are complete now; they stay valid until the next call.
func (e *eventStream) complete(b []byte) []byte {
	e.buffer = append(append(e.buffer[:0], e.partial...), b...)
	at := eventEnd(e.buffer)
	if at == 0 {
		e.partial = e.buffer
		return nil
	}
	complete := e.buffer[:at]
	e.partial = e.buffer[len(complete):]
	if e.skipThrough > 0 {
		complete = e.skipRepeated(complete)
	}
	for line := range bytes.Lines(complete) {
		if id, ok := eventID(line); ok {
			e.lastID = id
		}
	}
	return complete
}

// eventID reads the ID from a line of an event.
func eventID(line []byte) (id uint64, ok bool) {
	text, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
	return id, err == nil
}

// skipRepeated leaves out the events up to the first whose ID is above skipThrough. What comes before it without an ID belongs to them.
func (e *eventStream) skipRepeated(events []byte) []byte {
	begin, at := 0, 0 // of the event, and of the line
	for line := range bytes.Lines(events) {
		at += len(line)
		if id, ok := eventID(line); ok && id > e.skipThrough {
			e.skipThrough = 0
			return events[begin:]
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			begin = at
		}
	}
	return nil
}

// dropPartial gives up the event that is not complete, and returns it.
func (e *eventStream) dropPartial() []byte {
	partial := e.partial
	e.partial = nil
	return partial
}
