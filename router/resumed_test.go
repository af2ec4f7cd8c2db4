package router_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/router"
	"asterridge/sim"
)

// plainDialect is a plain manner of speaking in which streams may be taken up behind an event.
type plainDialect struct{ router.ChatProtocol }

func (plainDialect) ReadHeader(q *http.Request) (o router.ClientHeader, err error) {
	o.ID = q.Header.Get("X-Request-Id")
	if text := q.Header.Get("After-Event"); text != "" {
		o.LastEventID, err = strconv.ParseUint(text, 10, 64)
	}
	return o, err
}

func (plainDialect) ReadPrompt(*http.Request, []byte) (router.Prompt, error) {
	return router.Prompt{}, nil
}

func (plainDialect) SetHeaders(h http.Header, x *router.Exchange, s router.ReplicaHeader) {
	h.Set("X-Request-Id", x.ID)
	h.Set("X-Left-Ms", strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	h.Del("After-Event")
	if s.LastEventID > 0 {
		h.Set("After-Event", strconv.FormatUint(s.LastEventID, 10))
	}
}

func (plainDialect) Classify(r *http.Response) router.Outcome {
	refused := r.StatusCode == http.StatusServiceUnavailable
	return router.Outcome{Served: !refused, NotExecuted: refused, PickAgain: refused, Reason: r.Status}
}
func (plainDialect) EndDetector() func([]byte) bool { return nil }
func (plainDialect) ReportPath() string             { return "" }
func (plainDialect) LoadPath() string               { return "" }

// run is what one replica does with a request.
type run struct {
	refuses bool
	plain   bool          // no stream
	sends   int           // events after which it breaks off, in the midst of the next; less than 0: it sends all
	pause   time.Duration // before each event
	foreign bool          // its answer bears another request's id
	again   bool          // begins at the first event, whatever it is asked to go on behind
}

// streamer is all replicas: the runs come in the order in which they are asked, whichever is.
type streamer struct {
	mu      sync.Mutex
	runs    []run
	asked   []string // "replica: after LAST, body"
	targets []string
	left    []int
}

const lastEvent = 12

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\ndata: second line\n\n", n, strings.Repeat("x", n))
}

func eventsFrom(from, to int) (text string) {
	for n := from; n <= to; n++ {
		text += event(n)
	}
	return text
}

func (s *streamer) replica(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		s.mu.Lock()
		left, _ := strconv.Atoi(q.Header.Get("X-Left-Ms"))
		s.left = append(s.left, left)
		s.targets = append(s.targets, q.RequestURI)
		s.asked = append(s.asked, fmt.Sprintf("%s after %q: %s %s", q.Header.Get("X-Request-Id"), q.Header.Get("After-Event"), q.Method, body))
		r := run{sends: -1}
		if len(s.runs) > 0 {
			r, s.runs = s.runs[0], s.runs[1:]
		}
		order := len(s.asked)
		s.mu.Unlock()
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("X-Order", fmt.Sprint(order))
		if r.foreign {
			w.Header().Set("X-Request-Id", "foreign")
		}
		switch {
		case r.refuses:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case r.plain:
			_, _ = io.WriteString(w, "no stream")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Replica", name)
		after, _ := strconv.Atoi(q.Header.Get("After-Event"))
		if r.again {
			after = 0
		}
		flush := http.NewResponseController(w)
		for n := after + 1; n <= lastEvent; n++ {
			time.Sleep(r.pause)
			text := event(n)
			if r.sends == 0 {
				_, _ = io.WriteString(w, text[:len(text)/2])
				_ = flush.Flush()
				time.Sleep(10 * time.Millisecond) // the half event is on its way
				panic(http.ErrAbortHandler)
			}
			r.sends--
			_, _ = io.WriteString(w, text)
			_ = flush.Flush()
		}
	})
}

// stream is what a caller got.
type stream struct {
	status int
	header http.Header
	text   string
	err    error
}

// resumed plays with a router before two replicas that break off as told, on a path with these settings.
func resumed(t *testing.T, p config.Path, play func(is *is.I, s *streamer, ask func(header ...string) stream, counts func(name string) int64)) {
	t.Helper()
	resumedOn(t, p, func(is *is.I, s *streamer, stand *sim.Testbed) {
		ask := func(header ...string) stream {
			q, err := http.NewRequest(http.MethodPost, "http://"+sim.TestbedAddress+"/s/x", strings.NewReader("a body"))
			is.NoErr(err)
			q.Header.Set("X-Request-Id", "r1")
			for i := 0; i+1 < len(header); i += 2 {
				q.Header.Set(header[i], header[i+1])
			}
			answer, err := stand.Client.Do(q)
			if err != nil {
				return stream{err: err}
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(answer.Body)
			return stream{answer.StatusCode, answer.Header, string(text), err}
		}
		play(is, s, ask, func(name string) int64 {
			rows, err := stand.Router.Rows(context.Background(), router.Query{What: "counts"})
			is.NoErr(err)
			n, _ := rows[0][name].(int64)
			return n
		})
	})
}

// resumedOn is resumed for callers that connect by themselves.
func resumedOn(t *testing.T, p config.Path, play func(is *is.I, s *streamer, stand *sim.Testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stand := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: plainDialect{}, Log: zerolog.Nop()})
		defer stand.Stop()
		s := &streamer{}
		stand.Serve("10.0.2.1:80", s.replica("one"))
		stand.Serve("10.0.2.2:80", s.replica("two"))
		b := config.Empty()
		p.Name, p.Pool, p.Public, p.MaxBody, p.Cost = "stream", "pool", true, 1000, 1
		if p.Address == "" {
			p.Address = "/s/"
		}
		if p.DeadlineMs == 0 {
			p.DeadlineMs = 60000
		}
		b.Paths["stream"] = p
		b.Pools["pool"] = config.Pool{Name: "pool", Kind: "web"}
		stand.Configure(b, config.Replica{Name: "one", Address: "10.0.2.1:80", Pool: "pool", State: "present", Limit: 8},
			config.Replica{Name: "two", Address: "10.0.2.2:80", Pool: "pool", State: "present", Limit: 8})
		play(is, s, stand)
	})
}

var resumable = config.Path{Resumable: true}

// The first replica breaks off in the midst of an event, and the second goes on behind the last whole one: the caller gets every event once,
// under the head of the first answer, and does not see that there were two.
func TestBrokenStreamGoesOnAtAnotherReplica(t *testing.T) {
	for sent := range lastEvent {
		resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, counts func(string) int64) {
			s.runs = []run{{sends: sent}, {sends: -1}}
			got := ask()
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.text, eventsFrom(1, lastEvent))
			after := ""
			if sent > 0 {
				after = fmt.Sprint(sent)
			}
			is.Equal(s.asked, []string{`r1 after "": POST a body`, fmt.Sprintf("r1 after %q: POST a body", after)})
			is.Equal(got.header.Get("X-Order"), "1")
			is.Equal(counts("resumed"), int64(1))
			is.Equal(counts("second_shots"), int64(1))
			is.Equal(counts("state_"+string(router.Done)), int64(1))
		})
	}
}

// A caller that takes a stream up again says what it has, and so does the router when that stream breaks off in turn.
func TestStreamTakenUpByTheCallerGoesOnToo(t *testing.T) {
	for _, sent := range []int{0, 1, 3} {
		resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
			s.runs = []run{{sends: sent}, {sends: -1}}
			got := ask("After-Event", "5")
			is.NoErr(got.err)
			is.Equal(got.text, eventsFrom(6, lastEvent))
			is.Equal(s.asked, []string{`r1 after "5": POST a body`, fmt.Sprintf("r1 after %q: POST a body", fmt.Sprint(5+sent))})
		})
	}
}

// A replica that is asked to go on behind an event and begins again all the same: the caller gets no event twice, from whichever replica, and
// none is missing.
func TestResumedStreamThatBeginsAgainRepeatsNoEvent(t *testing.T) {
	for sent := range lastEvent {
		resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
			s.runs = []run{{sends: sent}, {sends: -1, again: true}}
			got := ask()
			is.NoErr(got.err)
			is.Equal(got.text, eventsFrom(1, lastEvent))
		})
		resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
			s.runs = []run{{sends: sent, again: true}, {sends: -1, again: true}}
			got := ask("After-Event", "5")
			is.NoErr(got.err)
			is.Equal(got.text, eventsFrom(6, lastEvent))
		})
	}
}

// Between the events that one replica sends, nothing is held back but what is not whole: the caller has each event as it comes.
func TestWholeEventsArePassedOnAtOnce(t *testing.T) {
	resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
		s.runs = []run{{sends: -1, pause: time.Second}}
		began := time.Now()
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
		is.True(time.Since(began) < lastEvent*time.Second+100*time.Millisecond)
	})
}

// A path's tries bound how many replicas one stream goes to; then the caller's connection is aborted behind a whole event.
func TestTriesBoundResumedStreams(t *testing.T) {
	for _, tries := range []int{1, 2} {
		p := resumable
		p.Tries = tries
		resumed(t, p, func(is *is.I, s *streamer, ask func(...string) stream, counts func(string) int64) {
			s.runs = []run{{sends: 2}, {sends: 2}, {sends: 2}, {sends: 2}}
			got := ask()
			is.Equal(got.status, http.StatusOK)
			is.True(errors.Is(got.err, io.ErrUnexpectedEOF))
			is.Equal(got.text, eventsFrom(1, 2*tries))
			is.Equal(len(s.asked), tries)
			is.Equal(counts("state_"+string(router.Failed)), int64(1))
			is.Equal(counts("bounce_stream_cut"), int64(1))
		})
	}
}

// Going on is paid for like any retry: a process begins with one, and each first attempt gives a tenth.
func TestBudgetBoundsResumedStreams(t *testing.T) {
	resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, counts func(string) int64) {
		whole, broken := 0, 0
		for range 30 {
			s.mu.Lock()
			s.runs = []run{{sends: 1}, {sends: -1}}
			s.mu.Unlock()
			if got := ask(); got.err == nil && got.text == eventsFrom(1, lastEvent) {
				whole++
			} else {
				is.Equal(got.text, eventsFrom(1, 1))
				broken++
			}
		}
		is.True(whole == 3 || whole == 4) // one, and a tenth for each of thirty, as far as tenths add up to ones
		is.Equal(broken, 30-whole)
		is.Equal(counts("second_shots"), int64(whole))
		is.Equal(len(s.asked), 30+whole)
		is.Equal(counts("first_shots"), int64(30))
	})
}

// A stream that may not be resumed aborts the caller's connection, and nobody else is asked.
func TestOtherStreamsAbort(t *testing.T) {
	resumed(t, config.Path{}, func(is *is.I, s *streamer, ask func(...string) stream, counts func(string) int64) {
		s.runs = []run{{sends: 3}, {sends: -1}}
		got := ask()
		is.True(errors.Is(got.err, io.ErrUnexpectedEOF))
		is.True(strings.HasPrefix(got.text, eventsFrom(1, 3)) && strings.HasPrefix(eventsFrom(1, 4), got.text))
		is.Equal(len(s.asked), 1)
		is.Equal(counts("resumed"), int64(0))
		is.Equal(counts("bounce_stream_cut"), int64(1))
	})
}

// What a second replica answers otherwise than with a stream does not get into the first one's; a refusal that has not run goes on to
// another, as far as that is paid for.
func TestOtherAnswersDoNotGetIntoAStream(t *testing.T) {
	for _, second := range []run{{plain: true}, {foreign: true, sends: -1}, {refuses: true}} {
		resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
			s.runs = []run{{sends: 3}, second, second, second}
			got := ask()
			is.Equal(got.status, http.StatusOK)
			is.True(got.err != nil)
			is.Equal(got.text, eventsFrom(1, 3))
			is.Equal(len(s.asked), 2) // the budget has one
		})
	}
	resumed(t, resumable, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
		for range 20 {
			is.NoErr(ask().err) // they fill the budget
		}
		s.runs, s.asked = []run{{sends: 3}, {refuses: true}, {sends: -1}}, nil
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
		is.Equal(len(s.asked), 3)
	})
}

// A stream is not taken up beyond the request's time; within it the next replica is told what is left.
func TestResumedWithinTheRequestsTime(t *testing.T) {
	p := resumable
	p.DeadlineMs = 5000
	resumed(t, p, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
		s.runs = []run{{sends: 3, pause: time.Second}, {sends: -1}}
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
		is.True(s.left[0] > 4900 && s.left[1] > 800 && s.left[1] < 1100)
		s.runs = []run{{sends: 7, pause: time.Second}, {sends: -1}}
		s.asked = nil
		got = ask()
		is.True(got.err != nil)
		is.Equal(got.text, eventsFrom(1, 7))
		is.Equal(len(s.asked), 1)
	})
}

// To a client of HTTP/1.0 a stream ends with its connection. One that breaks off ends with a reset, so that it does not look complete; a
// complete one ends in order.
func TestBrokenStreamLooksBrokenToAClientOfOldHTTP(t *testing.T) {
	for _, sent := range []int{0, 3, -1} {
		resumedOn(t, config.Path{}, func(is *is.I, s *streamer, stand *sim.Testbed) {
			s.runs = []run{{sends: sent}}
			client, err := stand.Net.Host("10.0.9.1").DialContext(context.Background(), "tcp", sim.TestbedAddress)
			is.NoErr(err)
			defer client.Close()
			_, err = io.WriteString(client, "POST /s/x HTTP/1.0\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			text, err := io.ReadAll(client)
			if sent < 0 {
				is.NoErr(err)
				is.True(strings.HasSuffix(string(text), eventsFrom(1, lastEvent)))
				return
			}
			is.True(err != nil)
		})
	}
}

// A target goes to the replica byte for byte, or is refused as not run: one that begins with two slashes and has characters that are to be
// escaped cannot be sent as it came.
func TestTargetsGoOnAsTheyCameOrAreRefused(t *testing.T) {
	for target, passed := range map[string]bool{"/s/a|b": true, "/s/a%7Cb": true, "//s/a": true, "//s/a%7cb?x=|": true, "//s/a|b": false, "//s/a%7cb|": false} {
		resumedOn(t, config.Path{Address: "/"}, func(is *is.I, s *streamer, stand *sim.Testbed) {
			client, err := stand.Net.Host("10.0.9.1").DialContext(context.Background(), "tcp", sim.TestbedAddress)
			is.NoErr(err)
			defer client.Close()
			_, err = io.WriteString(client, "POST "+target+" HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			answer, err := http.ReadResponse(bufio.NewReader(client), nil)
			is.NoErr(err)
			defer answer.Body.Close()
			if !passed {
				is.Equal(answer.StatusCode, http.StatusBadRequest)
				is.Equal(answer.Header.Get("X-Ran"), "no")
				is.Equal(len(s.asked), 0)
				return
			}
			is.Equal(answer.StatusCode, http.StatusOK)
			is.Equal(s.targets, []string{target})
		})
	}
}
