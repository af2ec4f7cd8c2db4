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

// plainDialect is a minimal protocol without prompts whose streams can be resumed after an event.
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

// replicaRun is how a replica answers one request.
type replicaRun struct {
	rejects    bool
	plain      bool          // answers without a stream
	sends      int           // breaks off within the event after this many; negative: sends all
	pause      time.Duration // before each event
	wrongID    bool          // its answer has another request's ID
	startsOver bool          // starts at the first event, ignoring the event to resume after
}

// fakeReplicas serves all replicas; the runs are used in the order of the requests, whichever replica gets them.
type fakeReplicas struct {
	mu          sync.Mutex
	runs        []replicaRun
	requests    []string // one line for each request: ID, event to resume after, method, body
	targets     []string
	remainingMs []int
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

func (s *fakeReplicas) replica(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		s.mu.Lock()
		left, _ := strconv.Atoi(q.Header.Get("X-Left-Ms"))
		s.remainingMs = append(s.remainingMs, left)
		s.targets = append(s.targets, q.RequestURI)
		s.requests = append(s.requests, fmt.Sprintf("%s after %q: %s %s", q.Header.Get("X-Request-Id"), q.Header.Get("After-Event"), q.Method, body))
		r := replicaRun{sends: -1}
		if len(s.runs) > 0 {
			r, s.runs = s.runs[0], s.runs[1:]
		}
		order := len(s.requests)
		s.mu.Unlock()
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("X-Order", fmt.Sprint(order))
		if r.wrongID {
			w.Header().Set("X-Request-Id", "foreign")
		}
		switch {
		case r.rejects:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case r.plain:
			_, _ = io.WriteString(w, "no stream")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Replica", name)
		after, _ := strconv.Atoi(q.Header.Get("After-Event"))
		if r.startsOver {
			after = 0
		}
		flush := http.NewResponseController(w)
		for n := after + 1; n <= lastEvent; n++ {
			time.Sleep(r.pause)
			text := event(n)
			if r.sends == 0 {
				_, _ = io.WriteString(w, text[:len(text)/2])
				_ = flush.Flush()
				time.Sleep(10 * time.Millisecond) // so that the half event is delivered before the reset
				panic(http.ErrAbortHandler)
			}
			r.sends--
			_, _ = io.WriteString(w, text)
			_ = flush.Flush()
		}
	})
}

// stream is the response that a client received.
type stream struct {
	status int
	header http.Header
	text   string
	err    error
}

// runResumed runs a scenario with a router in front of two replicas that answer as the scenario says, on a path with the given settings.
func runResumed(t *testing.T, p config.Path, scenario func(is *is.I, s *fakeReplicas, ask func(header ...string) stream, counts func(name string) int64)) {
	t.Helper()
	runResumedOnTestbed(t, p, func(is *is.I, s *fakeReplicas, testbed *sim.Testbed) {
		ask := func(header ...string) stream {
			q, err := http.NewRequest(http.MethodPost, "http://"+sim.TestbedAddress+"/s/x", strings.NewReader("a body"))
			is.NoErr(err)
			q.Header.Set("X-Request-Id", "r1")
			for i := 0; i+1 < len(header); i += 2 {
				q.Header.Set(header[i], header[i+1])
			}
			answer, err := testbed.Client.Do(q)
			if err != nil {
				return stream{err: err}
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(answer.Body)
			return stream{answer.StatusCode, answer.Header, string(text), err}
		}
		scenario(is, s, ask, func(name string) int64 {
			rows, err := testbed.Router.Rows(context.Background(), router.Query{What: "counts"})
			is.NoErr(err)
			n, _ := rows[0][name].(int64)
			return n
		})
	})
}

// runResumedOnTestbed is like resumed, for scenarios that open their own connections.
func runResumedOnTestbed(t *testing.T, p config.Path, scenario func(is *is.I, s *fakeReplicas, testbed *sim.Testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		testbed := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: plainDialect{}, Log: zerolog.Nop()})
		defer testbed.Stop()
		s := &fakeReplicas{}
		testbed.Serve("10.0.2.1:80", s.replica("one"))
		testbed.Serve("10.0.2.2:80", s.replica("two"))
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
		testbed.Configure(b, config.Replica{Name: "one", Address: "10.0.2.1:80", Pool: "pool", State: "present", Limit: 8},
			config.Replica{Name: "two", Address: "10.0.2.2:80", Pool: "pool", State: "present", Limit: 8})
		scenario(is, s, testbed)
	})
}

var resumable = config.Path{Resumable: true}

// When the first replica breaks off within an event, the second one continues after the last complete event: the client gets every
// event once, under the header of the first answer.
func TestBrokenStreamResumesAtAnotherReplica(t *testing.T) {
	for sent := range lastEvent {
		runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, counts func(string) int64) {
			s.runs = []replicaRun{{sends: sent}, {sends: -1}}
			got := ask()
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.text, eventsFrom(1, lastEvent))
			after := ""
			if sent > 0 {
				after = fmt.Sprint(sent)
			}
			is.Equal(s.requests, []string{`r1 after "": POST a body`, fmt.Sprintf("r1 after %q: POST a body", after)})
			is.Equal(got.header.Get("X-Order"), "1")
			is.Equal(counts("resumed"), int64(1))
			is.Equal(counts("second_shots"), int64(1))
			is.Equal(counts("state_"+string(router.Done)), int64(1))
		})
	}
}

// A stream that the client resumes after an event continues at another replica in the same way, after the last event that the client
// has by then.
func TestStreamResumedByTheClientIsResumedAgain(t *testing.T) {
	for _, sent := range []int{0, 1, 3} {
		runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
			s.runs = []replicaRun{{sends: sent}, {sends: -1}}
			got := ask("After-Event", "5")
			is.NoErr(got.err)
			is.Equal(got.text, eventsFrom(6, lastEvent))
			is.Equal(s.requests, []string{`r1 after "5": POST a body`, fmt.Sprintf("r1 after %q: POST a body", fmt.Sprint(5+sent))})
		})
	}
}

// A replica may ignore the event to resume after and start over: the client still gets every event exactly once.
func TestResumedStreamThatStartsOverRepeatsNoEvent(t *testing.T) {
	for sent := range lastEvent {
		runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
			s.runs = []replicaRun{{sends: sent}, {sends: -1, startsOver: true}}
			got := ask()
			is.NoErr(got.err)
			is.Equal(got.text, eventsFrom(1, lastEvent))
		})
		runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
			s.runs = []replicaRun{{sends: sent, startsOver: true}, {sends: -1, startsOver: true}}
			got := ask("After-Event", "5")
			is.NoErr(got.err)
			is.Equal(got.text, eventsFrom(6, lastEvent))
		})
	}
}

// Only incomplete events are held back: the client gets each event as soon as the replica has sent it.
func TestCompleteEventsArePassedOnAtOnce(t *testing.T) {
	runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
		s.runs = []replicaRun{{sends: -1, pause: time.Second}}
		began := time.Now()
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
		is.True(time.Since(began) < lastEvent*time.Second+100*time.Millisecond)
	})
}

// A path's limit of attempts also limits how many replicas one stream uses; after that the client's connection is aborted after a
// complete event.
func TestAttemptLimitAppliesToResumedStreams(t *testing.T) {
	for _, tries := range []int{1, 2} {
		p := resumable
		p.Tries = tries
		runResumed(t, p, func(is *is.I, s *fakeReplicas, ask func(...string) stream, counts func(string) int64) {
			s.runs = []replicaRun{{sends: 2}, {sends: 2}, {sends: 2}, {sends: 2}}
			got := ask()
			is.Equal(got.status, http.StatusOK)
			is.True(errors.Is(got.err, io.ErrUnexpectedEOF))
			is.Equal(got.text, eventsFrom(1, 2*tries))
			is.Equal(len(s.requests), tries)
			is.Equal(counts("state_"+string(router.Failed)), int64(1))
			is.Equal(counts("bounce_stream_cut"), int64(1))
		})
	}
}

// Resuming a stream is charged to the retry budget like any retry: a process starts with one, and each first attempt adds a tenth.
func TestRetryBudgetLimitsResumedStreams(t *testing.T) {
	runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, counts func(string) int64) {
		whole, broken := 0, 0
		for range 30 {
			s.mu.Lock()
			s.runs = []replicaRun{{sends: 1}, {sends: -1}}
			s.mu.Unlock()
			if got := ask(); got.err == nil && got.text == eventsFrom(1, lastEvent) {
				whole++
			} else {
				is.Equal(got.text, eventsFrom(1, 1))
				broken++
			}
		}
		is.True(whole == 3 || whole == 4) // one, and a tenth for each of thirty; floating-point tenths may add up to just under a whole
		is.Equal(broken, 30-whole)
		is.Equal(counts("second_shots"), int64(whole))
		is.Equal(len(s.requests), 30+whole)
		is.Equal(counts("first_shots"), int64(30))
	})
}

// When a stream that is not resumable breaks off, the client's connection is aborted and no other replica is asked.
func TestStreamThatIsNotResumableAborts(t *testing.T) {
	runResumed(t, config.Path{}, func(is *is.I, s *fakeReplicas, ask func(...string) stream, counts func(string) int64) {
		s.runs = []replicaRun{{sends: 3}, {sends: -1}}
		got := ask()
		is.True(errors.Is(got.err, io.ErrUnexpectedEOF))
		is.True(strings.HasPrefix(got.text, eventsFrom(1, 3)) && strings.HasPrefix(eventsFrom(1, 4), got.text))
		is.Equal(len(s.requests), 1)
		is.Equal(counts("resumed"), int64(0))
		is.Equal(counts("bounce_stream_cut"), int64(1))
	})
}

// A second answer that is not a stream, or has another request's ID, must not be appended to the first stream. A rejection that was
// not executed goes on to another replica, within the retry budget.
func TestOnlyMatchingStreamsResumeAStream(t *testing.T) {
	for _, second := range []replicaRun{{plain: true}, {wrongID: true, sends: -1}, {rejects: true}} {
		runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
			s.runs = []replicaRun{{sends: 3}, second, second, second}
			got := ask()
			is.Equal(got.status, http.StatusOK)
			is.True(got.err != nil)
			is.Equal(got.text, eventsFrom(1, 3))
			is.Equal(len(s.requests), 2) // the budget allows one retry
		})
	}
	runResumed(t, resumable, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
		for range 20 {
			is.NoErr(ask().err) // to fill the budget
		}
		s.runs, s.requests = []replicaRun{{sends: 3}, {rejects: true}, {sends: -1}}, nil
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
		is.Equal(len(s.requests), 3)
	})
}

// A stream is not resumed after the request's deadline; before it, the next replica is told the remaining time.
func TestStreamResumesOnlyBeforeTheDeadline(t *testing.T) {
	p := resumable
	p.DeadlineMs = 5000
	runResumed(t, p, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
		s.runs = []replicaRun{{sends: 3, pause: time.Second}, {sends: -1}}
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
		is.True(s.remainingMs[0] > 4900 && s.remainingMs[1] > 800 && s.remainingMs[1] < 1100)
		s.runs = []replicaRun{{sends: 7, pause: time.Second}, {sends: -1}}
		s.requests = nil
		got = ask()
		is.True(got.err != nil)
		is.Equal(got.text, eventsFrom(1, 7))
		is.Equal(len(s.requests), 1)
	})
}

// An HTTP/1.0 client sees the end of a stream only by the end of its connection: a stream that breaks off must end with a reset, or it
// would look complete. A complete stream ends normally.
func TestBrokenStreamIsResetForHTTP10Clients(t *testing.T) {
	for _, sent := range []int{0, 3, -1} {
		runResumedOnTestbed(t, config.Path{}, func(is *is.I, s *fakeReplicas, testbed *sim.Testbed) {
			s.runs = []replicaRun{{sends: sent}}
			client, err := testbed.Net.Host("10.0.9.1").DialContext(context.Background(), "tcp", sim.TestbedAddress)
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

// A request target is sent to the replica byte for byte or rejected as not executed. One that begins with two slashes and has
// characters that must be escaped cannot be sent unchanged.
func TestRequestTargetIsSentUnchangedOrRejected(t *testing.T) {
	for target, passed := range map[string]bool{"/s/a|b": true, "/s/a%7Cb": true, "//s/a": true, "//s/a%7cb?x=|": true, "//s/a|b": false, "//s/a%7cb|": false} {
		runResumedOnTestbed(t, config.Path{Address: "/"}, func(is *is.I, s *fakeReplicas, testbed *sim.Testbed) {
			client, err := testbed.Net.Host("10.0.9.1").DialContext(context.Background(), "tcp", sim.TestbedAddress)
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
				is.Equal(len(s.requests), 0)
				return
			}
			is.Equal(answer.StatusCode, http.StatusOK)
			is.Equal(s.targets, []string{target})
		})
	}
}
