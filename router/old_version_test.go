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

// versionDialect hands replicas a deadline, and names a model.
type versionDialect struct{ plainDialect }

func (versionDialect) ReadPrompt(*http.Request, []byte) (router.Prompt, error) {
	return router.Prompt{Model: "m"}, nil
}

// queueingReplica is a replica that lets requests wait before they begin. It stops at the deadline that it was handed, and drops what has not begun
// by then as not run.
type queueingReplica struct {
	wait   func() time.Duration // of a request that comes now
	chunks int                  // one each 100 ms

	mu     sync.Mutex
	begun  []time.Time
	missed int // dropped in the queue
	cut    int // stopped in the midst

	lastMiss time.Time
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
		s.missed++
		s.lastMiss = time.Now()
	} else {
		s.begun = append(s.begun, time.Now())
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

// runOnOldVersion has a router before one replica that stays on version 1, and callers that ask for a while from when version 2 is named.
func runOnOldVersion(t *testing.T, bound time.Duration, s *queueingReplica, play func(is *is.I, stand *sim.Testbed, ask func(id string) int, named time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := deployment.Bounds{ModelVersion: bound}.Proxy()
		stand := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: versionDialect{}, Log: zerolog.Nop(), OldWeightsLimit: options.OldWeightsLimit})
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
		named := time.Now()
		fields := register.Fields{}
		fields.Apply(config.Field("m", config.Model{Version: 2}))
		stand.Publish(config.ModelsKey, fields)
		stand.Source.Publish(router.ModelVersionsKey, register.Revision{}, register.Revision{}, register.Fields{router.ModelVersionField("m", 2): []byte("0")}, false)
		time.Sleep(time.Second)
		play(is, stand, ask, named)
	})
}

// sendSteadily sends requests at a steady pace until a moment, and waits for the last one's answer.
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

// Nothing begins on an old version after its bound, however long requests wait at the replica before they begin: also where the queue grows
// from nothing to seconds, so that what was seen is no guide. Old versions are used for most of their time all the same.
func TestOldVersionStartsNoWorkAfterLimit(t *testing.T) {
	const bound = 15 * time.Second
	for name, wait := range map[string]func(named time.Time) time.Duration{
		"a short queue":    func(time.Time) time.Duration { return 100 * time.Millisecond },
		"a long queue":     func(time.Time) time.Duration { return 2800 * time.Millisecond },
		"a growing queue":  func(named time.Time) time.Duration { return time.Since(named) / 4 },
		"a sudden standby": func(named time.Time) time.Duration { return max(0, time.Since(named)-10*time.Second) * 3 },
	} {
		t.Run(name, func(t *testing.T) {
			var began time.Time
			s := &queueingReplica{chunks: 3}
			s.wait = func() time.Duration {
				if began.IsZero() {
					return 0
				}
				return wait(began)
			}
			runOnOldVersion(t, bound, s, func(is *is.I, _ *sim.Testbed, ask func(string) int, named time.Time) {
				began = named
				answered := sendSteadily(ask, named.Add(bound+2*time.Second))
				last := time.Duration(0)
				for _, at := range s.begun {
					last = max(last, at.Sub(named))
				}
				t.Logf("the last began after %v; answered: %v; dropped in the queue: %d, cut: %d", last, answered, s.missed, s.cut)
				is.True(last <= bound)
				is.True(last >= bound/2)
			})
		})
	}
}

// A stream that has begun is not stopped by the deadline that stands for the bound: as long as answers have been seen to take, nothing new
// is sent.
func TestStreamsOnOldVersionComplete(t *testing.T) {
	s := &queueingReplica{chunks: 25, wait: func() time.Duration { return 200 * time.Millisecond }}
	runOnOldVersion(t, 15*time.Second, s, func(is *is.I, _ *sim.Testbed, ask func(string) int, named time.Time) {
		answered := sendSteadily(ask, named.Add(15*time.Second))
		t.Logf("answered: %v; dropped in the queue: %d, cut: %d", answered, s.missed, s.cut)
		is.Equal(s.cut, 0)
		is.Equal(s.missed, 0)
		is.True(answered[http.StatusOK] > 80)
	})
}

// A deadline that was worked out before a connection was sought is looked at again when the connection is there.
func TestOldVersionDeadlineIsCheckedAtWrite(t *testing.T) {
	s := &queueingReplica{chunks: 1}
	var began time.Time
	s.wait = func() time.Duration {
		if began.IsZero() {
			return 0
		}
		return 10 * time.Second
	}
	const bound = 15 * time.Second
	runOnOldVersion(t, bound, s, func(is *is.I, stand *sim.Testbed, ask func(string) int, named time.Time) {
		began = named
		time.Sleep(time.Until(named.Add(12 * time.Second))) // no idle connection is left
		stand.Net.PartitionGroups([]string{"10.0.1.1"}, []string{"10.0.2.1"}, true)
		var asking sync.WaitGroup
		asking.Go(func() { ask("hangs in the dial") })
		time.Sleep(900 * time.Millisecond) // less than a dial may take
		stand.Net.PartitionGroups([]string{"10.0.1.1"}, []string{"10.0.2.1"}, false)
		asking.Wait()
		is.Equal(len(s.begun), 1) // the one before the version was named
		is.True(s.missed > 0)
		is.True(s.lastMiss.Sub(named) <= bound)
	})
}
