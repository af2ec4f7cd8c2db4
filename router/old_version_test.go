package router_test

import (
	"context"
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
	"asterridge/deployment"
	"asterridge/register"
	"asterridge/router"
	"asterridge/sim"
)

// versionProtocol sends replicas a deadline, and names a model.
type versionProtocol struct{ plainDialect }

func (versionProtocol) ReadPrompt(*http.Request, []byte) (router.Prompt, error) {
	return router.Prompt{Model: "m"}, nil
}

// queueingReplica is a replica that queues requests before it starts them. It ends streams at the deadline that it was given, and rejects
// requests that it has not started by then as not run.
type queueingReplica struct {
	wait   func() time.Duration // queueing time of a request that arrives now
	chunks int                  // per response, one each chunkInterval

	mu      sync.Mutex
	started []time.Time
	expired int // rejected after their deadline had passed in the queue
	cut     int // streams ended by the deadline

	lastExpired time.Time
}

const chunkInterval = 100 * time.Millisecond

func (s *queueingReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	left, _ := strconv.Atoi(q.Header.Get("X-Left-Ms"))
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	time.Sleep(min(s.wait(), time.Until(deadline)))
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	s.mu.Lock()
	late := !time.Now().Before(deadline)
	if late {
		s.expired++
		s.lastExpired = time.Now()
	} else {
		s.started = append(s.started, time.Now())
	}
	s.mu.Unlock()
	if late {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := range s.chunks {
		if time.Now().After(deadline) {
			s.mu.Lock()
			s.cut++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(n+1))
		_ = flush.Flush()
		time.Sleep(chunkInterval)
	}
}

// runOnOldVersion runs a router with one replica that stays on version 1, publishes version 2, and calls play, which sends requests.
func runOnOldVersion(t *testing.T, bound time.Duration, s *queueingReplica, play func(is *is.I, stand *sim.Testbed, ask func(id string) int, published time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := deployment.Bounds{ModelVersion: bound}.Proxy()
		stand := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: versionProtocol{}, Log: zerolog.Nop(), OldWeightsLimit: options.OldWeightsLimit})
		defer stand.Stop()
		stand.Serve("10.0.2.1:80", s)
		b := config.Empty()
		b.Paths["stream"] = config.Path{Name: "stream", Address: "/s/", Pool: "pool", Public: true, MaxBody: 1000, Cost: 1, DeadlineMs: 10000}
		b.Pools["pool"] = config.Pool{Name: "pool", Kind: "model", Models: []string{"m"}}
		stand.Configure(b, config.Replica{Name: "one", Address: "10.0.2.1:80", Pool: "pool", State: "present", Limit: 1000, Models: map[string]uint64{"m": 1}})
		ask := func(id string) int {
			q, err := http.NewRequest(http.MethodPost, "http://"+sim.TestbedAddress+"/s/x", strings.NewReader("a body"))
			is.NoErr(err)
			q.Header.Set("X-Request-Id", id)
			short, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			answer, err := stand.Client.Do(q.WithContext(short))
			if err != nil {
				return 0
			}
			defer answer.Body.Close()
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				return 0
			}
			return answer.StatusCode
		}
		is.Equal(ask("before"), http.StatusOK)
		published := time.Now()
		fields := register.Fields{}
		fields.Apply(config.Field("m", config.Model{Version: 2}))
		stand.Publish(config.ModelsKey, fields)
		stand.Source.Publish(router.ModelVersionsKey, register.Revision{}, register.Revision{}, register.Fields{router.ModelVersionField("m", 2): []byte("0")}, false)
		time.Sleep(time.Second)
		play(is, stand, ask, published)
	})
}

// sendSteadily sends requests at a steady rate until the given time, waits for all responses, and counts them by status.
func sendSteadily(ask func(id string) int, until time.Time) (answered map[int]int) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	answered = map[int]int{}
	for n := 0; time.Now().Before(until); n++ {
		asking.Go(func() {
			status := ask(fmt.Sprintf("r%d", n))
			mu.Lock()
			defer mu.Unlock()
			answered[status]++
		})
		time.Sleep(chunkInterval)
	}
	asking.Wait()
	return answered
}

// No work starts on an old version after its limit, however long requests queue at the replica. That includes a queue that grows from nothing
// to seconds, for which earlier response times are no estimate. Old versions must still be used for most of their time.
func TestOldVersionStartsNoWorkAfterLimit(t *testing.T) {
	const bound = 15 * time.Second
	for name, wait := range map[string]func(published time.Time) time.Duration{
		"a short queue":   func(time.Time) time.Duration { return 100 * time.Millisecond },
		"a long queue":    func(time.Time) time.Duration { return 2800 * time.Millisecond },
		"a growing queue": func(published time.Time) time.Duration { return time.Since(published) / 4 },
		"a sudden stall":  func(published time.Time) time.Duration { return max(0, time.Since(published)-10*time.Second) * 3 },
	} {
		t.Run(name, func(t *testing.T) {
			var versionPublished time.Time
			s := &queueingReplica{chunks: 3}
			s.wait = func() time.Duration {
				if versionPublished.IsZero() {
					return 0
				}
				return wait(versionPublished)
			}
			runOnOldVersion(t, bound, s, func(is *is.I, _ *sim.Testbed, ask func(string) int, published time.Time) {
				versionPublished = published
				answered := sendSteadily(ask, published.Add(bound+2*time.Second))
				last := time.Duration(0)
				for _, at := range s.started {
					last = max(last, at.Sub(published))
				}
				t.Logf("last start after %v; responses by status: %v; expired in the queue: %d, cut: %d", last, answered, s.expired, s.cut)
				is.True(last <= bound)
				is.True(last >= bound/2)
			})
		})
	}
}

// The deadline that enforces the limit does not cut streams that have started: nothing new is sent once a response, at the observed response
// times, would not be complete by the limit.
func TestStreamsOnOldVersionComplete(t *testing.T) {
	s := &queueingReplica{chunks: 25, wait: func() time.Duration { return 200 * time.Millisecond }}
	runOnOldVersion(t, 15*time.Second, s, func(is *is.I, _ *sim.Testbed, ask func(string) int, published time.Time) {
		answered := sendSteadily(ask, published.Add(15*time.Second))
		t.Logf("responses by status: %v; expired in the queue: %d, cut: %d", answered, s.expired, s.cut)
		is.Equal(s.cut, 0)
		is.Equal(s.expired, 0)
		is.True(answered[http.StatusOK] > 80)
	})
}

// A request can wait for a connection after its deadline was computed. The deadline is checked again when the connection is available.
func TestOldVersionDeadlineIsCheckedAtWrite(t *testing.T) {
	s := &queueingReplica{chunks: 1}
	var versionPublished time.Time
	s.wait = func() time.Duration {
		if versionPublished.IsZero() {
			return 0
		}
		return 10 * time.Second
	}
	const bound = 15 * time.Second
	runOnOldVersion(t, bound, s, func(is *is.I, stand *sim.Testbed, ask func(string) int, published time.Time) {
		versionPublished = published
		time.Sleep(time.Until(published.Add(12 * time.Second))) // idle connections have been closed
		stand.Net.PartitionGroups([]string{"10.0.1.1"}, []string{"10.0.2.1"}, true)
		var asking sync.WaitGroup
		asking.Go(func() { ask("waits in the dial") })
		time.Sleep(900 * time.Millisecond) // less than the dial timeout
		stand.Net.PartitionGroups([]string{"10.0.1.1"}, []string{"10.0.2.1"}, false)
		asking.Wait()
		is.Equal(len(s.started), 1) // the one before the version was published
		is.True(s.expired > 0)
		is.True(s.lastExpired.Sub(published) <= bound)
	})
}
