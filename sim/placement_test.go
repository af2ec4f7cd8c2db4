package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/inflight"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

// quietProtocol has replicas that tell nothing of their load, and prompts that name their segments.
type quietProtocol struct{ router.ChatProtocol }

func (quietProtocol) ReportPath() string { return "" }

func (quietProtocol) ReadHeader(q *http.Request) (router.ClientHeader, error) {
	return router.ClientHeader{ID: q.Header.Get("X-Request-Id")}, nil
}

func (quietProtocol) ReadPrompt(q *http.Request, _ []byte) (router.Prompt, error) {
	own, err := strconv.Atoi(q.Header.Get("X-Own"))
	shared := router.Segment{ID: q.Header.Get("X-Shared"), Size: 2000}
	return router.Prompt{Model: "m", Segments: []router.Segment{shared, {ID: q.Header.Get("X-Request-Id"), Size: own}}}, err
}

// engine is a replica that computes its prompts one after another, and whose answers have one chunk.
type engine struct {
	mu          sync.Mutex
	cached      map[string]bool // shared segments
	freeAt      time.Time
	longestWait time.Duration // that a prompt waited
}

// engineRate is how many units of a prompt an engine computes in a millisecond.
const engineRate = 50

// prefill gives when the prompt of a request is computed that arrives now.
func (e *engine) prefill(shared string, own int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	units := own
	if !e.cached[shared] {
		units += 2000
		e.cached[shared] = true
	}
	now := time.Now()
	e.longestWait = max(e.longestWait, e.freeAt.Sub(now))
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(units) * time.Millisecond / engineRate)
	return e.freeAt
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body) // the prompt is in the header
	own, _ := strconv.Atoi(q.Header.Get("X-Own"))
	time.Sleep(time.Until(e.prefill(q.Header.Get("X-Shared"), own)) + 10*time.Millisecond)
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // a reader that is gone asks again
}

// placementFleet is some proxies before engines, and one core that keeps the loads.
type placementFleet struct {
	net     *Network
	engines []*engine
	updates *watch.Server // what all agents pass on
	proxies int
	loads   inflight.Table
	routers []*router.Router
	unnamed atomic.Int64 // requests for a place that did not name their shared blocks
	running sync.WaitGroup
	ctx     context.Context
}

const placementCore = "10.0.0.1:7000"

// serve runs a handler until the fleet ends.
func (f *placementFleet) serve(address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := must(f.net.Host(host(address)).Listen(address))
	f.running.Go(func() { _ = server.Serve(listener) })         // it ends with the fleet
	f.running.Go(func() { <-f.ctx.Done(); _ = server.Close() }) // it ends with the fleet
}

// startProxy starts a router beside its agent.
func (f *placementFleet) startProxy(i int) {
	ip := ProxyIP(i)
	r := router.New(router.Options{
		Name: fmt.Sprintf("proxy-%d", i), Fleet: fleetName, Agent: ip + ":7001", Net: f.net.Host(ip), Log: zerolog.Nop(),
		Protocol: quietProtocol{}, PrefixIndexSize: 10000,
	})
	mux := http.NewServeMux()
	mux.Handle("POST /agent/pull", rpc.Handler(fleetName, f.updates.Watch))
	f.serve(ip+":7001", mux)
	f.serve(ProxyAddress(i), r.Handler())
	f.running.Go(func() { r.Run(f.ctx) })
	f.routers = append(f.routers, r)
}

// configure publishes one pool with all engines, and a path with a latency target.
func (f *placementFleet) configure() {
	plan := config.Empty()
	plan.KeyPolicy = config.KeyIgnored
	plan.Pools["pool"] = config.Pool{Name: "pool", Kind: config.ModelPool}
	plan.Paths["path"] = config.Path{Name: "path", Address: chatAddress, Pool: "pool", DeadlineMs: 10000, LatencyTargetMs: 1000, Cost: 1, MaxBody: 1000}
	replicas := register.Fields{}
	for i, e := range f.engines {
		name, address := ReplicaName(i), At(ReplicaIP(i))
		f.serve(address, e)
		replicas.Apply(config.Field(name, config.Replica{Name: name, Address: address, Pool: "pool", State: config.ReplicaPresent, Limit: 24}))
	}
	proxies := register.Fields{}
	for i := range f.proxies {
		proxies[fmt.Sprintf("proxy-%d", i)] = json.RawMessage("1")
	}
	revision := register.Revision{Epoch: 1, Version: 1}
	f.updates.PublishHint(router.ProxiesKey, proxies, true)
	f.updates.Publish(config.ReplicasKey, revision, revision, replicas, true)
	f.updates.Publish(config.Key, revision, revision, plan.Fields(), true)
}

// ask sends a request to a proxy and gives the time to its answer.
func (f *placementFleet) ask(client *http.Client, proxy, request, shared, own int) (time.Duration, error) {
	q := must(http.NewRequest(http.MethodPost, "http://"+ProxyAddress(proxy)+chatAddress, nil))
	q.Header.Set("X-Request-Id", fmt.Sprint("request-", request))
	q.Header.Set("X-Shared", fmt.Sprint("shared-", shared))
	q.Header.Set("X-Own", fmt.Sprint(own))
	began := time.Now()
	answer, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", answer.StatusCode)
	}
	return time.Since(began), err
}

// count sums a counter of all routers.
func (f *placementFleet) count(name string) (sum int64) {
	for _, r := range f.routers {
		sum += r.Counts()[name]
	}
	return sum
}

// playPlacement runs a fleet of 12 proxies and 20 engines that are busy for half of the time, and gives the share of answers that took longer
// than 300 ms, the longest wait at an engine and the questions to a core that were not answered. A prompt alone takes 20 to 250 ms.
func playPlacement(t *testing.T, seed uint64, cores register.Fields) (late float64, longest time.Duration, unanswered int64) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		f := &placementFleet{net: NewNetwork(time.Millisecond), proxies: 12, ctx: ctx,
			updates: watch.NewServer(watch.ServerOptions{ValidFor: func() time.Duration { return 10 * time.Second }})}
		for range 20 {
			f.engines = append(f.engines, &engine{cached: map[string]bool{}})
		}
		core := http.NewServeMux()
		core.Handle("POST /core/place", rpc.Handler(fleetName, func(_ context.Context, q inflight.Request) (inflight.Response, error) {
			if len(q.Candidates) > 0 && len(q.Shared) != 1 {
				f.unnamed.Add(1)
			}
			return f.loads.Assign(q), nil
		}))
		f.serve(placementCore, core)
		f.configure()
		f.updates.PublishHint(router.CoresKey, cores, true)
		for i := range f.proxies {
			f.startProxy(i)
		}
		time.Sleep(2 * time.Second)
		client := &http.Client{Transport: &http.Transport{DialContext: f.net.Host(CallerIP).DialContext, MaxIdleConnsPerHost: 100}}
		random := rand.New(rand.NewPCG(seed, 1))
		const requests, rate = 1500, 180
		var asking sync.WaitGroup
		var mu sync.Mutex
		slow := 0
		for n := range requests {
			proxy, shared, own := random.IntN(f.proxies), random.IntN(60), 500+int(2500*random.ExpFloat64())
			asking.Go(func() {
				took, err := f.ask(client, proxy, n, shared, min(own, 10000))
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				if took > 300*time.Millisecond {
					slow++
				}
			})
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
		}
		asking.Wait()
		late = float64(slow) / requests
		is.Equal(f.count("first_chunks"), int64(requests))
		is.Equal(f.unnamed.Load(), int64(0)) // a core that was restarted knows no shared block
		is.True(len(cores) == 0 || f.count("placements") > 0)
		unanswered = f.count("placements_unanswered")
		for _, e := range f.engines {
			longest = max(longest, e.longestWait)
		}
		stop()
		f.running.Wait()
		f.net.End()
		client.CloseIdleConnections()
		time.Sleep(time.Minute)
	})
	return late, longest, unanswered
}

// Proxies that do not see one another's requests, before replicas that tell nothing, do not meet at one replica while others are idle: a
// core that knows what all have in flight chooses among the best. Without it each prefix has one replica, whatever waits there.
func TestProxiesThatCannotSeeOneAnotherSpreadTheirLoad(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			late, longest, unanswered := playPlacement(t, seed, register.Fields{"core-1": json.RawMessage(strconv.Quote(placementCore))})
			t.Logf("late %.4f, longest wait %v", late, longest)
			is.Equal(unanswered, int64(0))
			is.True(late < 0.03) // 0.10 without a core that knows the loads
		})
	}
}

// A core that does not answer delays no request by more than a twentieth of its target, and is not asked again and again.
func TestPlacementGoesOnWithoutTheCore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	alone, _, _ := playPlacement(t, 1, register.Fields{})
	silent, _, unanswered := playPlacement(t, 1, register.Fields{"core-1": json.RawMessage(`"10.0.0.9:7000"`)})
	t.Logf("late without a core %.4f, with one that is silent %.4f", alone, silent)
	is.True(silent < alone+0.03)
	is.True(unanswered > 0 && unanswered < 200) // 12 proxies, about 10 s, a pause of a second after each
}
