package relaytest

import (
	"net/http"
	"strings"
	"time"
)

// act is what a replica does with a request. It reports whether the connection is kept.
type act struct {
	name   string
	proper bool
	weight int
	do     func(l *line, r *Run, q *http.Request) bool
}

// Acts lists what replicas may do with a request, by name.
func Acts() (names []string) {
	for _, a := range acts {
		names = append(names, a.name)
	}
	return names
}

// chosen returns the acts of a mix: all of them, or whole answers and one other in equal shares.
func chosen(only string) []act {
	for _, a := range acts {
		if a.name == only {
			a.weight = acts[0].weight
			return []act{acts[0], a}
		}
	}
	return acts
}

// acts are the implementations, by name.
var acts = []act{
	{"whole", true, 60, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
	{"late", true, 6, func(l *line, r *Run, q *http.Request) bool {
		l.w.pause(400 * time.Millisecond)
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
	{"refused", true, 10, func(l *line, r *Run, q *http.Request) bool {
		l.w.note(func() { r.HasRun = false })
		return l.send(l.refusal(r, q, q.Header.Get(l.w.Speech.IDHeader)))
	}},
	{"refused twice, the copy where the next answer is due", false, 5, func(l *line, r *Run, q *http.Request) bool {
		l.w.note(func() { r.HasRun = false })
		text := l.refusal(r, q, q.Header.Get(l.w.Speech.IDHeader))
		l.pending, l.silly = text, l.w.draw(2) == 0
		return l.send(text)
	}},
	{"refused without a promise", false, 4, func(l *line, r *Run, q *http.Request) bool {
		w := l.w
		if len(w.Speech.Unpromised) == 0 {
			return l.breakOff()
		}
		status := w.Speech.Unpromised[w.draw(len(w.Speech.Unpromised))]
		w.note(func() { r.Status = status })
		return l.finish(r, w.head(status, q.Header.Get(w.Speech.IDHeader), r, "Content-Length: 0"))
	}},
	{"twice at once", false, 5, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body) && l.send(head+body)
	}},
	{"twice, the copy later", false, 4, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		isSent := l.finish(r, head+body)
		l.w.pause(20 * time.Millisecond)
		return isSent && l.send(head+body)
	}},
	{"twice, the copy where the next answer is due", false, 6, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		l.pending, l.silly = head+body, l.w.draw(2) == 0
		return l.finish(r, head+body)
	}},
	{"another's answer", false, 8, func(l *line, r *Run, q *http.Request) bool { return l.send(l.foreign(r, q)) }},
	{"another's answer, then its own", false, 5, func(l *line, r *Run, q *http.Request) bool {
		text := l.foreign(r, q)
		head, body := l.answerTo(r, q)
		return l.send(text) && l.finish(r, head+body)
	}},
	{"another's answer where the next one is due", false, 5, func(l *line, r *Run, q *http.Request) bool {
		l.pending, l.silly = l.foreign(r, q), l.w.draw(2) == 0
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
	{"bytes after the end", false, 4, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body) && l.send([]string{"more", "\r\n\r\n", "HTTP/1.1 ", "HTTP/1.1 408 Request Timeout\r\n\r\n"}[l.w.draw(4)])
	}},
	{"bytes where the next answer is due", false, 3, func(l *line, r *Run, q *http.Request) bool {
		l.pending = []string{"more", "\r\n", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}[l.w.draw(4)]
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
	{"breaks off before the head", false, 6, func(l *line, r *Run, _ *http.Request) bool {
		l.w.pause(50 * time.Millisecond)
		return l.breakOff()
	}},
	{"breaks off in the head", false, 4, func(l *line, r *Run, q *http.Request) bool {
		head, _ := l.answerTo(r, q)
		l.send(head[:l.w.draw(len(head))])
		return l.breakOff()
	}},
	{"breaks off in the body", false, 8, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		if len(body) == 0 {
			l.finish(r, head)
		} else {
			l.send(head + body[:l.w.draw(len(body))])
		}
		l.w.pause(20 * time.Millisecond)
		return l.breakOff()
	}},
	{"forgets the connection", false, 6, func(l *line, r *Run, q *http.Request) bool {
		l.forgets = true
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
	{"closes after the answer", true, 4, func(l *line, r *Run, q *http.Request) bool {
		head, body := l.answerTo(r, q)
		l.finish(r, strings.Replace(head, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)+body)
		return false
	}},
	{"interim answers first", true, 4, func(l *line, r *Run, q *http.Request) bool {
		for range 1 + l.w.draw(2) {
			l.send([]string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 199 Some\r\n\r\n"}[l.w.draw(3)])
		}
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
	{"no answer in the protocol", false, 3, func(l *line, r *Run, _ *http.Request) bool {
		return l.send([]string{"SSH-2.0-x\r\n", "HTTP/1.1 abc\r\n\r\n", "\x00\x01\x02", "HTTP/9.9 200 OK\r\n\r\n"}[l.w.draw(4)])
	}},
	{"a status that is none", false, 3, func(l *line, r *Run, q *http.Request) bool {
		status := []int{0, 99, 101, 101, 600, 999}[l.w.draw(6)]
		l.w.note(func() { r.Status = status })
		return l.finish(r, l.w.head(status, q.Header.Get(l.w.Speech.IDHeader), r, "Content-Length: 0"))
	}},
	{"longer than it is", false, 3, func(l *line, r *Run, q *http.Request) bool {
		l.send(l.w.head(200, q.Header.Get(l.w.Speech.IDHeader), r, "Content-Length: 500") + "short")
		l.w.note(func() { r.Status, r.Answer = 200, "short" })
		l.w.pause(300 * time.Millisecond)
		return l.breakOff()
	}},
	{"shorter than it is", false, 3, func(l *line, r *Run, q *http.Request) bool {
		l.w.note(func() { r.Status, r.Answer = 200, "short" })
		return l.finish(r, l.w.head(200, q.Header.Get(l.w.Speech.IDHeader), r, "Content-Length: 5")+"short") && l.send(" and more")
	}},
	{"a body where there is none", false, 2, func(l *line, r *Run, q *http.Request) bool {
		status := []int{204, 304}[l.w.draw(2)]
		l.w.note(func() { r.Status = status })
		return l.finish(r, l.w.head(status, q.Header.Get(l.w.Speech.IDHeader), r, "Content-Length: 4")) && l.send("body")
	}},
	{"a chunk of no size", false, 3, func(l *line, r *Run, q *http.Request) bool {
		l.w.note(func() { r.Status, r.Answer = 200, "four" })
		return l.send(l.w.head(200, q.Header.Get(l.w.Speech.IDHeader), r, "Transfer-Encoding: chunked") + "4\r\nfour\r\nxyz\r\n")
	}},
	{"the connection's end is the answer's", false, 6, func(l *line, r *Run, q *http.Request) bool {
		_, _ = l.answerTo(r, q)
		body, kind := r.Answer, "Content-Type: text/plain"
		if s := l.w.find(r.Tag); s != nil && (s.Kind == Stream || s.Kind == Resumable) {
			kind = "Content-Type: text/event-stream"
		}
		cut := l.w.draw(len(body) + 1)
		l.send(l.w.head(r.Status, q.Header.Get(l.w.Speech.IDHeader), r, kind, "Connection: close") + body[:cut])
		hasEnd := r.Stream && l.w.Speech.EndMark != "" // of its own
		l.w.note(func() { r.Complete = body == "" || hasEnd && cut == len(body) })
		return false
	}},
	{"a success without a stamp", false, 2, func(l *line, r *Run, q *http.Request) bool {
		if !l.w.Speech.Stamped {
			return l.breakOff()
		}
		bare := *r
		bare.Stamp = ""
		text := l.w.head(200, q.Header.Get(l.w.Speech.IDHeader), &bare, "Content-Length: 4")
		if q.Method != http.MethodHead {
			text += "bare"
		}
		return l.send(text)
	}},
	{"silent past the deadline", false, 4, func(l *line, r *Run, q *http.Request) bool {
		time.Sleep(5 * time.Second)
		head, body := l.answerTo(r, q)
		return l.finish(r, head+body)
	}},
}
