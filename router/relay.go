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

// Sizes in bytes, and time-outs, of a relayed answer.
const (
	tailSize            = 64
	chunkSize           = 32 << 10
	chunkTimeoutDefault = 60 * time.Second // between two chunks of a stream
	// answerSlack is the time allowed for the transfer of what a replica sent before the deadline that it was told.
	answerSlack = 200 * time.Millisecond
)

// chunkBuffers is a pool of stream buffers.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// relay passes the answer on as it arrives (docs/design.md §5.6). If a stream breaks off, it aborts the client's connection, because
// an answer that ends normally would look complete.
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
		err = apierror.New(apierror.ClientGone, "client disconnected during the answer")
	} else {
		err = apierror.Wrap(err, apierror.StreamBroken, "relay")
		r.log.Warn().Str("request", x.ID).Str("replica", x.replica.Name).Err(err).Msg("stream broke off at a replica")
	}
	r.counts.reject(apierror.Of(err).Code)
	r.step(x, Failed, err.Error())
	r.reportClaim(x, "unknown")
	panic(http.ErrAbortHandler)
}

// chunkTimeout returns how long to wait for the next chunk of an answer. A replica that is told the deadline ends its answer by then:
// silence before the deadline is no reason to end the answer, and nothing is to be expected after it.
func (r *Router) chunkTimeout(x *Exchange) time.Duration {
	if r.options.Protocol.SendsDeadline() {
		return max(0, time.Until(x.Deadline)+answerSlack)
	}
	return chunkTimeoutDefault
}

// errBroken is the error of a stream that the replica broke off.
type errBroken struct{ cause error }

func (e errBroken) Error() string { return e.cause.Error() }
func (e errBroken) Unwrap() error { return e.cause }

// relayBody passes the answer's bytes on. A resumable stream that breaks off continues at another replica, after the last event that
// the client has received completely (docs/design.md §5.7).
func (r *Router) relayBody(w http.ResponseWriter, x *Exchange) error {
	control := http.NewResponseController(w)
	stream := eventStream{lastID: x.LastEventID, skipThrough: x.LastEventID}
	for {
		err := r.relayReplica(w, control, x, &stream)
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

// resume continues a broken stream at another replica, if the retry budget allows it.
func (r *Router) resume(x *Exchange, cause error) error {
	x.Answer.end(cause)
	r.coolDown(x.replica)
	x.resumedPlacement = x.placement
	if err := r.chargeRetry(x, cause); err != nil {
		return err
	}
	r.counts.add("resumed", 1)
	ctx, cancel := context.WithDeadline(x.Request.Context(), x.Deadline)
	defer cancel()
	if err := r.attempt(ctx, x, r.afterAttempts); err != nil {
		return err
	}
	if x.Answer.Status != http.StatusOK || x.Answer.buffer == nil {
		return apierror.New(apierror.StreamBroken, "response to resume from has status %d or is no event stream", x.Answer.Status)
	}
	return nil
}

// replicaRelay passes one replica's answer on to the client.
type replicaRelay struct {
	router  *Router
	w       http.ResponseWriter
	control *http.ResponseController
	x       *Exchange
	stream  *eventStream
	// resumable: the client gets complete events only, so that the stream can continue at another replica.
	resumable bool
	// tail is the last bytes that were passed on, where the stream's end marker is looked for.
	tail []byte
}

// relayReplica passes on what one replica sends. The error is errBroken if the replica broke the answer off.
func (r *Router) relayReplica(w http.ResponseWriter, control *http.ResponseController, x *Exchange, stream *eventStream) error {
	a := x.Answer
	// Limits how long a client that stops reading is waited for.
	_ = control.SetWriteDeadline(time.Now().Add(r.chunkTimeout(x))) // a writer without deadlines has limits of its own
	if a.Complete {
		_, err := w.Write(a.firstChunk)
		return err
	}
	events := a.buffer != nil
	if !events {
		a.buffer = chunkBuffers.Get().(*[chunkSize]byte)
	}
	defer func() {
		chunkBuffers.Put(a.buffer) // the first chunk, which is stored in it, has been written by now
		if !events {
			a.buffer = nil
		}
	}()
	relay := &replicaRelay{router: r, w: w, control: control, x: x, stream: stream, resumable: events && x.Path.Resumable}
	return relay.run()
}

// run passes on the first chunk and then each one as it arrives. It closes the connection to a replica that sends nothing for the
// chunk time-out.
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
			_ = p.control.SetWriteDeadline(time.Now().Add(timeout)) // as above
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

// pass writes and flushes a chunk; of a resumable stream, only the events that are complete.
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
	return p.control.Flush()
}

// end checks that the answer is complete, and writes the bytes after its last complete event.
func (p *replicaRelay) end() error {
	if a := p.x.Answer; a.AtEnd != nil && !a.AtEnd(p.tail) {
		return errBroken{apierror.New(apierror.StreamBroken, "the stream ended without its end marker")}
	}
	unfinished := p.stream.dropPartial()
	if len(unfinished) == 0 {
		return nil
	}
	_, err := p.w.Write(unfinished)
	return err
}

// eventStream splits a stream into complete events and keeps the ID of the last one.
type eventStream struct {
	lastID  uint64
	buffer  []byte // partial event and latest chunk
	partial []byte // the end of buffer: an event that is not complete yet
	// skipThrough is the ID of the last event that the client has from an earlier answer; a replica that starts over sends the events
	// up to it again. It is zero once a later event has arrived.
	skipThrough uint64
}

// eventEnd returns the offset after the last complete event; 0 if there is none.
func eventEnd(b []byte) int {
	last := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(b, end); at >= 0 {
			last = max(last, at+len(end))
		}
	}
	return last
}

// complete adds a chunk and returns the events that it completes. They stay valid until the next call.
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

// eventID parses a line of an event as its ID.
func eventID(line []byte) (id uint64, ok bool) {
	text, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
	return id, err == nil
}

// skipRepeated drops the events up to the first one with an ID above skipThrough. Events without an ID before that one are dropped
// with them.
func (e *eventStream) skipRepeated(events []byte) []byte {
	eventStart, lineEnd := 0, 0 // offsets of the current event and of the next line
	for line := range bytes.Lines(events) {
		lineEnd += len(line)
		if id, ok := eventID(line); ok && id > e.skipThrough {
			e.skipThrough = 0
			return events[eventStart:]
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			eventStart = lineEnd
		}
	}
	return nil
}

// dropPartial discards the incomplete event and returns its bytes.
func (e *eventStream) dropPartial() []byte {
	partial := e.partial
	e.partial = nil
	return partial
}
