package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"asterridge/fail"
)

const (
	tailSize   = 64
	pieceSize  = 32 << 10
	pieceLimit = 60 * time.Second // between two pieces of a stream
)

// pieces are buffers that streams share in turn.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

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
	w.Header().Set("X-Shots", strconv.Itoa(x.Shot+1))
	w.Header().Set("X-Waited-Ms", strconv.FormatInt(x.Sent.Sub(x.Received).Milliseconds(), 10))
	w.Header().Set("X-Blueprint-Version", strconv.FormatUint(x.View.Version.Version, 10))
	w.WriteHeader(a.Status)
	err := r.pour(w, x)
	a.finish(err)
	if err == nil {
		r.step(x, Done, "")
		r.settleClaim(x, "ran")
		return nil
	}
	if x.Request.Context().Err() != nil {
		err = fail.New(fail.CallerGone, "left during the answer")
	} else {
		err = fail.Wrap(err, fail.StreamCut, "relay")
		r.log.Warn().Str("event", "stream_cut").Str("request", x.ID).Str("replica", x.replica.Name).Err(err).Msg("")
	}
	r.counts.bounce(fail.Of(err).Code)
	r.step(x, Failed, err.Error())
	r.settleClaim(x, "unknown")
	panic(http.ErrAbortHandler)
}

func (r *Router) pour(w http.ResponseWriter, x *Exchange) error {
	a, flush := x.Answer, http.NewResponseController(w)
	// A caller that stops reading is not waited for without end; a writer that knows no deadlines has its own bounds.
	_ = flush.SetWriteDeadline(time.Now().Add(pieceLimit))
	if _, err := w.Write(a.First); err != nil {
		return err
	}
	if a.IsAll {
		return nil
	}
	if err := flush.Flush(); err != nil {
		return err
	}
	tail := append([]byte(nil), a.First[max(0, len(a.First)-tailSize):]...)
	if a.buffer == nil {
		a.buffer = pieces.Get().(*[pieceSize]byte)
	}
	buffer := a.buffer[:]
	defer pieces.Put(a.buffer) // First, which lies in it, is written already
	schedule := time.AfterFunc(pieceLimit, func() { _ = a.Rest.Close() })
	defer schedule.Stop()
	for {
		n, err := a.Rest.Read(buffer)
		if n > 0 {
			schedule.Reset(pieceLimit)
			_ = flush.SetWriteDeadline(time.Now().Add(pieceLimit))
			tail = append(tail, buffer[:n]...)
			tail = append(tail[:0], tail[max(0, len(tail)-tailSize):]...)
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := flush.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if a.IsEnd != nil && !a.IsEnd(tail) {
				return fail.New(fail.StreamCut, "no end mark")
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}
