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

const (
	tailSize            = 64
	chunkSize           = 32 << 10
	chunkTimeoutDefault = 60 * time.Second // between two pieces of a stream
	// answerSlack is for the way of what a replica sent before the deadline that it was told.
	answerSlack = 200 * time.Millisecond
)

// chunkBuffers are buffers that streams share in turn.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// relay passes the answer on as it comes (§5.6). A stream that breaks off aborts the caller's connection.
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

// chunkTimeout is how long the next piece of an answer is waited for. A replica that is told the deadline ends its answer by then; until then its
// silence is no reason to end it, and after that nothing is to be expected of it.
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

// relayBody passes the answer's bytes on. A stream that may be resumed goes on at another replica, behind the last event that the caller has
// whole (§5.7).
func (r *Router) relayBody(w http.ResponseWriter, x *Exchange) error {
	flush := http.NewResponseController(w)
	stream := eventStream{lastID: x.LastEventID}
	for {
		err := r.relayReplica(w, flush, x, &stream)
		var broken errBroken
		if err == nil || !errors.As(err, &broken) || x.Answer.buffer == nil || !x.Path.Resumable || x.Request.Context().Err() != nil || !time.Now().Before(x.Deadline) {
			return err
		}
		x.LastEventID = stream.lastID
		stream.dropPartial()
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

// relayReplica passes on what one replica sends.
func (r *Router) relayReplica(w http.ResponseWriter, flush *http.ResponseController, x *Exchange, stream *eventStream) error {
	a := x.Answer
	// A caller that stops reading is not waited for without end; a writer that knows no deadlines has its own bounds.
	_ = flush.SetWriteDeadline(time.Now().Add(r.chunkTimeout(x)))
	if a.Complete {
		_, err := w.Write(a.firstChunk)
		return err
	}
	isEvents := a.buffer != nil
	if !isEvents {
		a.buffer = chunkBuffers.Get().(*[chunkSize]byte)
	}
	defer func() {
		chunkBuffers.Put(a.buffer) // First, which lies in it, is written by then
		if !isEvents {
			a.buffer = nil
		}
	}()
	pass := func(b []byte) error {
		if isEvents && x.Path.Resumable {
			if b = stream.complete(b); len(b) == 0 {
				return nil
			}
		}
		if _, err := w.Write(b); err != nil {
			return err
		}
		return flush.Flush()
	}
	tail := append([]byte(nil), a.firstChunk[max(0, len(a.firstChunk)-tailSize):]...)
	if err := pass(a.firstChunk); err != nil {
		return err
	}
	timer := time.AfterFunc(r.chunkTimeout(x), func() { _ = a.Body.Close() })
	defer timer.Stop()
	for {
		n, err := a.Body.Read(a.buffer[:])
		if n > 0 {
			wait := r.chunkTimeout(x)
			timer.Reset(wait)
			_ = flush.SetWriteDeadline(time.Now().Add(wait))
			tail = append(tail, a.buffer[:n]...)
			tail = append(tail[:0], tail[max(0, len(tail)-tailSize):]...)
			if err := pass(a.buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if a.AtEnd != nil && !a.AtEnd(tail) {
				return errBroken{apierror.New(apierror.StreamBroken, "no end mark")}
			}
			if unfinished := stream.dropPartial(); len(unfinished) > 0 {
				_, err := w.Write(unfinished)
				return err
			}
			return nil
		}
		if err != nil {
			return errBroken{err}
		}
	}
}

// eventStream cuts a stream into whole events, and knows the last one's id.
type eventStream struct {
	lastID  uint64
	buffer  []byte // what was taken last
	partial []byte // of it, the event that is not whole yet
}

// eventEnd gives where the last whole event ends; 0: nowhere.
func eventEnd(b []byte) int {
	last := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(b, end); at >= 0 {
			last = max(last, at+len(end))
		}
	}
	return last
}

// complete gives the events that are whole now; they stay until the next call.
func (e *eventStream) complete(b []byte) []byte {
	e.buffer = append(append(e.buffer[:0], e.partial...), b...)
	at := eventEnd(e.buffer)
	if at == 0 {
		e.partial = e.buffer
		return nil
	}
	complete := e.buffer[:at]
	e.partial = e.buffer[len(complete):]
	for line := range bytes.Lines(complete) {
		if text, iD := bytes.CutPrefix(line, []byte("id:")); iD {
			if id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64); err == nil {
				e.lastID = id
			}
		}
	}
	return complete
}

// dropPartial gives up the event that is not whole.
func (e *eventStream) dropPartial() []byte {
	partial := e.partial
	e.partial = nil
	return partial
}
