package relaytest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// aborter is a connection of the simulated network that can be reset.
type aborter interface {
	net.Conn
	Abort()
	ShutWrite()
}

// listen runs a replica at an address until the context ends.
func (w *World) listen(ctx context.Context, running *sync.WaitGroup, address string) {
	host, _, _ := net.SplitHostPort(address)
	listener, err := w.Testbed.Net.Host(host).Listen(address)
	if err != nil {
		panic(err)
	}
	running.Go(func() { <-ctx.Done(); _ = listener.Close() }) // the test ends
	running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				line := &line{w: w, c: c.(aborter), in: bufio.NewReader(c)}
				running.Go(func() { <-ctx.Done(); line.c.Abort() })
				line.serve()
			})
		}
	})
}

// line is one connection to a replica.
type line struct {
	w       *World
	c       aborter
	in      *bufio.Reader
	pending string // comes at the place where the next answer is due
	silly   bool   // the pending answer comes in place of the next one, not before it
	forgets bool   // what is sent on it next is reset
	carried []string
}

// serve answers the requests of a connection.
func (l *line) serve() {
	defer l.c.Close()
	for {
		if _, err := l.in.Peek(1); err != nil {
			return
		}
		if l.forgets || !l.w.isTame() && l.w.draw(60) == 0 {
			l.c.Abort() // read in part at the most: it has not run
			return
		}
		q, err := http.ReadRequest(l.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a, r := l.w.arrive(q, string(body))
		if pending := l.pending; pending != "" {
			l.pending = ""
			if l.silly {
				a = act{name: "an old answer in place of its own", do: func(*line, *Run, *http.Request) bool { return true }}
			}
			l.w.note(func() { r.Proper, r.Act = false, "behind an old answer: "+a.name })
			if _, err := io.WriteString(l.c, pending); err != nil {
				l.w.note(func() { r.HasRun = true })
				return
			}
		}
		connection := a.do(l, r, q)
		l.w.note(func() { r.Ended = time.Now() })
		l.carried = append(l.carried, q.Header.Get(l.w.Speech.IDHeader))
		if !connection {
			return
		}
	}
}

// isTame reports whether replicas answer regularly by now.
func (w *World) isTame() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tamed
}

// note runs a change of the ledger under the lock.
func (w *World) note(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// arrive draws what happens to a request. It counts as executed unless the act says otherwise.
func (w *World) arrive(q *http.Request, body string) (act, *Run) {
	total := 0
	for _, a := range w.acts {
		total += a.weight
	}
	n := w.draw(total)
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen := w.acts[0]
	for _, a := range w.acts {
		if n < a.weight {
			chosen = a
			break
		}
		n -= a.weight
	}
	if w.tamed {
		chosen = w.acts[0]
	}
	r := &Run{Tag: q.Header.Get(w.Speech.TagHeader), Method: q.Method, Target: q.RequestURI, Body: body, Stamp: fmt.Sprintf("stamp-%d", len(w.runs)),
		HasRun: true, Proper: chosen.proper, Act: chosen.name}
	w.runs = append(w.runs, r)
	return chosen, r
}

// head returns an answer's status line and header fields.
func (w *World) head(status int, id string, r *Run, more ...string) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %03d Status", status), w.Speech.IDHeader + ": " + id}
	if r.Stamp != "" {
		lines = append(lines, w.Speech.StampHeader+": "+r.Stamp)
	}
	return strings.Join(append(lines, more...), "\r\n") + "\r\n\r\n"
}

// answerTo returns the whole answer of a run and records it in the ledger.
func (l *line) answerTo(r *Run, q *http.Request) (head, body string) {
	w, id := l.w, q.Header.Get(l.w.Speech.IDHeader)
	sent := w.find(r.Tag)
	if q.Method != http.MethodHead && sent != nil && (sent.Kind == Stream || sent.Kind == Resumable) {
		after, _ := strconv.ParseUint(q.Header.Get(w.Speech.LastHeader), 10, 64)
		for n := after + 1; n <= pieces(r.Tag); n++ {
			body += fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, r.Tag, strings.Repeat("x", int(n)))
		}
		body += w.Speech.EndMark
		w.note(func() { r.Status, r.Answer, r.Stream = 200, body, true })
		return w.head(200, id, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"), chunked(body, 3)
	}
	status := []int{200, 200, 200, 201, 204, 304, 404, 500, 504}[w.draw(9)]
	if w.isTame() {
		status = 200
	}
	body = fmt.Sprintf("%s for %s: %s", r.Stamp, r.Tag, strings.Repeat("y", w.draw(3000)))
	framed := []string{fmt.Sprintf("Content-Length: %d", len(body))}
	onWire := body
	switch {
	case q.Method == http.MethodHead && w.draw(2) == 0:
		framed, onWire, body = nil, "", "" // nothing tells how long a body would be
	case q.Method == http.MethodHead:
		onWire, body = "", ""
	case status == 204 || status == 304:
		framed, onWire, body = nil, "", ""
	case w.draw(3) == 0:
		framed, onWire = []string{"Transfer-Encoding: chunked"}, chunked(body, 1+w.draw(4))
	}
	w.note(func() { r.Status, r.Answer = status, body })
	return w.head(status, id, r, framed...), onWire
}

// chunked encodes a body in some chunks and the final empty one.
func chunked(body string, n int) (text string) {
	step := len(body)/n + 1
	for len(body) > 0 {
		part := body[:min(step, len(body))]
		body = body[len(part):]
		text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return text + "0\r\n\r\n"
}

// send writes bytes, sometimes in several writes.
func (l *line) send(text string) bool {
	for len(text) > 0 {
		n := len(text)
		if l.w.draw(3) == 0 {
			n = 1 + l.w.draw(len(text))
		}
		if _, err := io.WriteString(l.c, text[:n]); err != nil {
			return false
		}
		if text = text[n:]; len(text) > 0 {
			l.w.pause(30 * time.Millisecond)
		}
	}
	return true
}

// finish sends an answer and records whether all of it was written.
func (l *line) finish(r *Run, text string) bool {
	sent := l.send(text)
	l.w.note(func() { r.Complete = sent })
	return sent
}

// refusal returns an answer that promises that the request was not executed.
func (l *line) refusal(r *Run, q *http.Request, id string) string {
	w := l.w
	answered := w.Speech.Refusals[w.draw(len(w.Speech.Refusals))]
	bare := *r
	bare.Stamp = ""
	text := w.head(answered.Status, id, &bare, append([]string{fmt.Sprintf("Content-Length: %d", len(answered.Body))}, answered.Lines...)...)
	if q.Method != http.MethodHead {
		text += answered.Body
	}
	return text
}

// foreignID returns the ID of an earlier request of this connection, one that never existed, or none.
func (l *line) foreignID() string {
	ids := append([]string{"", "no-such-id"}, l.carried...)
	return ids[l.w.draw(len(ids))]
}

// foreign returns an answer that belongs to another request.
func (l *line) foreign(r *Run, q *http.Request) string {
	id := l.foreignID()
	if l.w.draw(2) == 0 {
		return l.refusal(r, q, id)
	}
	body := "of another request"
	other := &Run{Stamp: "stamp-foreign"}
	text := l.w.head([]int{200, 404, 500}[l.w.draw(3)], id, other, fmt.Sprintf("Content-Length: %d", len(body)))
	if q.Method == http.MethodHead {
		return text
	}
	return text + body
}

// breakOff ends the connection by a close or a reset.
func (l *line) breakOff() bool {
	if l.w.draw(2) == 0 {
		l.c.Abort()
	}
	return false
}
