package relaytest

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	patience = 20 * time.Second // longer than any route's deadline
	longRest = 12 * time.Second // of a connection between two requests
	host     = "a.example"
)

// caller is one connection of the client.
type caller struct {
	w  *World
	c  aborter
	in *bufio.Reader
}

// client runs some connections one after another.
func (w *World) client(n int) {
	for i := range 2 + w.draw(4) {
		w.connection(fmt.Sprintf("%d-%d", n, i))
		w.pause(100 * time.Millisecond)
	}
}

// connect opens a connection to the relay.
func (w *World) connect() *caller {
	c, err := w.dial()
	if err != nil {
		panic(err)
	}
	return &caller{w, c.(aborter), bufio.NewReader(c)}
}

// connection sends a few requests, and ends with one that may be irregular.
func (w *World) connection(name string) {
	k := w.connect()
	defer k.c.Close()
	for i := range 1 + w.draw(5) {
		tag := fmt.Sprintf("tag-%s-%d", name, i)
		open := false
		switch n := w.draw(20); {
		case n < 10:
			open = k.ask(tag)
		case n < 12:
			open = k.astray(tag)
		case n < 14:
			open = k.pipeline(tag)
		case n < 15:
			k.leaveMidway(tag)
		case n < 16:
			k.leaveWaiting(tag)
		case n < 17:
			k.halfClose(tag)
		case n < 18:
			k.again(tag)
		default:
			k.smuggle(tag)
		}
		if !open {
			return
		}
		switch w.draw(6) {
		case 0, 1:
			w.pause(300 * time.Millisecond)
		case 2:
			w.pause(longRest)
		}
	}
	k.listenOn()
}

// compose draws a request and records it as sent.
func (w *World) compose(tag string) (s *Sent, text string) {
	kind := Kind(w.draw(int(kinds)))
	if kind == Resumable && w.Speech.LastHeader == "" {
		kind = Once
	}
	s = &Sent{Tag: tag, Kind: kind, Method: "POST", Times: 1}
	if kind == Repeatable || kind == Once {
		s.Method = []string{"POST", "POST", "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"}[w.draw(8)]
	}
	s.Target = w.Speech.Path(kind) + []string{"x", "x?q=1", "a%2Fb/~?x=%20&y", "x;y=z?", "x|y/{z}^?a|b", "\xc3\xbc/x%C3%BC", "x#y", "/x/./../y"}[w.draw(8)]
	if s.Method != "GET" && s.Method != "HEAD" && w.draw(4) > 0 {
		s.Body = fmt.Sprintf("body of %s %s", tag, strings.Repeat("b", w.draw(200)*w.draw(30)))
	}
	lines := append([]string{w.Speech.TagHeader + ": " + tag}, w.Speech.Lines(kind)...)
	if kind == Resumable && w.draw(3) == 0 {
		s.Last = uint64(w.draw(int(pieces(tag))))
		lines = append(lines, fmt.Sprintf("%s: %d", w.Speech.LastHeader, s.Last))
	}
	if w.Speech.TagHeader == w.Speech.IDHeader && w.draw(10) == 0 {
		lines = append(lines, "Connection: keep-alive, "+w.Speech.IDHeader) // it concerns more than this connection, whatever is said
	}
	text = s.Body
	switch {
	case s.Body == "" && w.draw(2) == 0:
	case w.draw(3) == 0:
		lines, text = append(lines, "Transfer-Encoding: chunked"), chunked(s.Body, 1+w.draw(4))
	default:
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(s.Body)))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[tag] = s
	w.order = append(w.order, tag)
	return s, request(s, lines) + text
}

// request returns a request's head.
func request(s *Sent, lines []string) string {
	return s.Method + " " + s.Target + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// find returns what the client has sent under a tag.
func (w *World) find(tag string) *Sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[tag]
}

// take records what the client received.
func (w *World) take(g Got) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.got = append(w.got, g)
}

// write sends bytes, sometimes in several writes.
func (k *caller) write(text string) bool {
	for len(text) > 0 {
		n := len(text)
		if k.w.draw(4) == 0 {
			n = 1 + k.w.draw(len(text))
		}
		if _, err := io.WriteString(k.c, text[:n]); err != nil {
			return false
		}
		if text = text[n:]; len(text) > 0 {
			k.w.pause(20 * time.Millisecond)
		}
	}
	return true
}

// ask sends a request and waits for its answer.
func (k *caller) ask(tag string) (open bool) {
	s, text := k.w.compose(tag)
	k.write(text)
	return k.read(s, Got{Patient: true})
}

// astray requests a path that has no route: the relay answers by itself.
func (k *caller) astray(tag string) (open bool) {
	s := &Sent{Tag: tag, Kind: Once, Method: "GET", Target: "/nowhere/x", Times: 1}
	k.w.mu.Lock()
	k.w.sent[tag] = s
	k.w.order = append(k.w.order, tag)
	k.w.mu.Unlock()
	k.write(request(s, append([]string{k.w.Speech.TagHeader + ": " + tag}, k.w.Speech.Lines(Once)...)))
	return k.read(s, Got{Patient: true})
}

// pipeline sends two or three requests at once.
func (k *caller) pipeline(tag string) (open bool) {
	var all []*Sent
	var complete string
	for i := range 2 + k.w.draw(2) {
		s, text := k.w.compose(fmt.Sprintf("%s.%d", tag, i))
		all, complete = append(all, s), complete+text
	}
	k.write(complete)
	for _, s := range all {
		if !k.read(s, Got{Patient: true}) {
			return false
		}
	}
	return true
}

// leaveMidway closes the connection within a request.
func (k *caller) leaveMidway(tag string) {
	_, text := k.w.compose(tag)
	k.write(text[:k.w.draw(len(text))])
	k.w.pause(50 * time.Millisecond)
	k.leave()
}

// leaveWaiting closes the connection before the answer or within it.
func (k *caller) leaveWaiting(tag string) {
	_, text := k.w.compose(tag)
	k.write(text)
	k.w.pause(100 * time.Millisecond)
	if k.w.draw(2) == 0 {
		_ = k.c.SetReadDeadline(time.Now().Add(time.Second)) // a connection that is gone ends the read as well
		_, _ = k.in.ReadByte()                               // a connection that is gone ends the read as well
	}
	k.leave()
}

// leave closes the connection.
func (k *caller) leave() {
	if k.w.draw(2) == 0 {
		k.c.Abort()
	}
}

// halfClose sends a request and then closes the outgoing direction.
func (k *caller) halfClose(tag string) {
	s, text := k.w.compose(tag)
	k.write(text)
	k.c.ShutWrite()
	k.read(s, Got{})
}

// again sends a request, closes, and sends the same request on another connection.
func (k *caller) again(tag string) {
	s, text := k.w.compose(tag)
	k.write(text)
	if k.w.draw(2) == 0 {
		k.read(s, Got{})
	} else {
		k.w.pause(100 * time.Millisecond)
	}
	k.leave()
	k.w.mu.Lock()
	s.Times++
	k.w.mu.Unlock()
	second := k.w.connect()
	defer second.c.Close()
	second.write(text)
	second.read(s, Got{})
}

// plain sends a request that may not be repeated, and to which a regular answer must come.
func (w *World) plain(tag string) {
	k := w.connect()
	defer k.c.Close()
	s := &Sent{Tag: tag, Kind: Once, Method: "POST", Target: w.Speech.Path(Once) + "last", Body: "last", Times: 1}
	w.mu.Lock()
	w.sent[tag] = s
	w.order = append(w.order, tag)
	w.mu.Unlock()
	k.write(request(s, append([]string{w.Speech.TagHeader + ": " + tag, "Content-Length: 4"}, w.Speech.Lines(Once)...)) + "last")
	k.read(s, Got{Patient: true})
}

// smuggle sends a request whose length is given in conflicting ways, with another request inside its body.
func (k *caller) smuggle(tag string) {
	w := k.w
	inner := &Sent{Tag: tag + "-inner", Kind: Once, Method: "POST", Target: w.Speech.Path(Once) + "smuggled", Smuggled: true}
	hidden := request(inner, append([]string{w.Speech.TagHeader + ": " + inner.Tag, "Content-Length: 0"}, w.Speech.Lines(Once)...))
	s := &Sent{Tag: tag, Kind: Once, Method: "POST", Target: w.Speech.Path(Once) + "x", Times: 1}
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d", n) }
	closed := "0\r\n\r\n" + hidden
	ways := []struct {
		lines []string
		body  string
		means string // the body of the only fair reading
	}{
		{[]string{length(len(closed)), "Transfer-Encoding: chunked"}, closed, ""},
		{[]string{"Transfer-Encoding: chunked", length(len(closed))}, closed, ""},
		{[]string{length(4), length(4 + len(hidden))}, "four" + hidden, "four"},
		{[]string{"Content-Length : 4", "Transfer-Encoding: chunked"}, closed, ""},
		{[]string{"Transfer-Encoding : chunked", length(len(closed))}, closed, closed},
		{[]string{"Transfer-Encoding: xchunked", length(len(closed))}, closed, closed},
		{[]string{"Transfer-Encoding: chunked, identity", length(len(closed))}, closed, ""},
		{[]string{"Transfer-Encoding: chunked", "Transfer-Encoding: identity", length(len(closed))}, closed, ""},
		{[]string{"Transfer-Encoding:\tchunked", length(len(closed))}, closed, ""},
		{[]string{"X: y\r\n Transfer-Encoding: chunked", length(len(closed))}, closed, closed},
		{[]string{"Content-Length: +4"}, "four" + hidden, "four"},
		{[]string{"Content-Length: 4, 4"}, "four" + hidden, "four"},
		{[]string{"Content-Length: 0x4"}, "four" + hidden, "four"},
		{[]string{"Transfer-Encoding: chunked"}, "4x\r\nfour\r\n" + closed, ""},
		{[]string{"Transfer-Encoding: chunked"}, "-4\r\nfour\r\n" + closed, ""},
		{[]string{"Transfer-Encoding: chunked"}, "fffffffffffffffff4\r\nfour\r\n" + closed, ""},
		{[]string{"Transfer-Encoding: chunked"}, "4\r\nfourXX" + closed, ""},
		{[]string{"Transfer-Encoding: chunked"}, "4;" + strings.Repeat("e", 20) + "\r\nfour\r\n" + "0\r\nX: y\r\n\r\n", "four"},
		{[]string{length(len(hidden))}, hidden, hidden}, // a request as a body is a body
		{[]string{"Transfer-Encoding: chunked"}, chunked(hidden, 3), hidden},
	}
	way := ways[w.draw(len(ways))]
	s.Body = way.means
	w.mu.Lock()
	w.sent[tag], w.sent[inner.Tag] = s, inner
	w.order = append(w.order, tag)
	w.mu.Unlock()
	k.write(request(s, append(append([]string{w.Speech.TagHeader + ": " + tag}, w.Speech.Lines(Once)...), way.lines...)) + way.body)
	if k.read(s, Got{Odd: true}) {
		k.read(inner, Got{Odd: true})
	}
}

// read receives one answer and reports whether the connection may carry another request.
func (k *caller) read(s *Sent, g Got) (open bool) {
	g.Tag, g.From = s.Tag, time.Now()
	defer func() { k.w.take(g) }()
	_ = k.c.SetReadDeadline(time.Now().Add(patience)) // a connection that is gone ends the read as well
	var answer *http.Response
	for {
		var err error
		answer, err = http.ReadResponse(k.in, &http.Request{Method: s.Method})
		if err != nil {
			g.Why = fmt.Errorf("%v after %v", err, time.Since(g.From))
			if text := err.Error(); strings.Contains(text, "malformed") {
				g.Stray = text
			}
			return false
		}
		if answer.StatusCode >= 200 || answer.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	g.Status, g.Stamp = answer.StatusCode, answer.Header.Get(k.w.Speech.StampHeader)
	body, err := io.ReadAll(answer.Body)
	g.Body, g.Complete = string(body), err == nil
	g.Unframed = answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && s.Method != http.MethodHead
	return g.Complete && !answer.Close
}

// listenOn waits on a connection without a request in progress: nothing may arrive.
func (k *caller) listenOn() {
	_ = k.c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // a connection that is gone ends the read as well
	if stray, err := k.in.Peek(1); err == nil {
		more, _ := k.in.Peek(k.in.Buffered())
		k.w.take(Got{Stray: string(stray) + string(more)})
	}
}
