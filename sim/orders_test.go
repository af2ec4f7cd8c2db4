package sim

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/idempotency"
	"asterridge/linearizability"
	"asterridge/rpc"
)

var (
	orderSeeds = flag.Int("order-seeds", 6, "how many random runs of orders in the product's own language are played")
	orderFirst = flag.Uint64("order-first", 1, "the seed of the first of them")
)

// send sends an order to a core and waits for its answer for a while; then the answer is lost.
func (f *Fleet) send(core int, name string, q any, patience time.Duration) (controlplane.Accepted, error) {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	return rpc.Call[controlplane.Accepted](ctx, f.Wire, At(CoreIP(core)), "/op/"+name, q)
}

// createTenant is the order "create tenant NAME".
func createTenant(key, name string) controlplane.ConfigChange {
	return controlplane.ConfigChange{Key: idempotency.Key{IdempotencyKey: key}, Partial: true, NameCondition: "new",
		Text: fmt.Appendf(nil, `{"tenants":[{"name":%q}]}`, name)}
}

// removeTenant is the order "remove tenant NAME".
func removeTenant(key, name string) controlplane.ConfigChange {
	return controlplane.ConfigChange{Key: idempotency.Key{IdempotencyKey: key}, Partial: true,
		Text: fmt.Appendf(nil, `{"remove":{"tenants":[%q]}}`, name)}
}

// accessKey is the order "grant key" or "revoke key" for a key of tenant a.
func accessKey(key, access string, revoked bool) controlplane.AccessKeyChange {
	return controlplane.AccessKeyChange{Key: idempotency.Key{IdempotencyKey: key}, Tenant: "a", Hash: config.HashKey(access), Revoked: revoked}
}

// Orders in the product's own language whose answers are lost are sent again, late too, when other orders have undone them: each is
// acknowledged as it was the first time and has no second effect, at whatever core and after a restart of all.
func TestOrderSentAgainIsAcknowledgedAndHasOneEffect(t *testing.T) {
	t.Parallel()
	inBubble(t, options(400), func(is *is.I, f *Fleet) {
		orders := []struct {
			name string
			body any
		}{
			{config.Key, createTenant("1", "later")},
			{config.Key, removeTenant("2", "later")},
			{config.Key, createTenant("3", "later")},
			{"keys", accessKey("4", "spare", false)},
			{"keys", accessKey("5", "spare", true)},
		}
		var versions []uint64
		for n, order := range orders {
			accepted, err := f.send(n%4, order.name, order.body, 2*time.Second)
			is.NoErr(err)
			versions = append(versions, accepted.Version)
		}
		_, err := f.send(0, config.Key, createTenant("another", "later"), 2*time.Second)
		is.True(apierror.Is(err, apierror.Exists)) // another order is another order
		_, err = f.send(0, "keys", accessKey("another", "spare", false), 2*time.Second)
		is.True(apierror.Is(err, apierror.Conflict))
		sendAgain := func() {
			for n, order := range orders {
				accepted, err := f.send((n+1)%4, order.name, order.body, 2*time.Second)
				is.NoErr(err)
				is.Equal(accepted.Version, versions[n])
			}
			answer, err := f.Query(2, "tenants")
			is.NoErr(err)
			is.Equal(len(answer.Rows), 4) // a, b, c and later
		}
		sendAgain()
		for i := range 4 {
			f.Kill(CoreIP(i))
		}
		for i := range 4 {
			f.StartCore(i)
		}
		f.Until(10*time.Second, "orders are taken", func() bool {
			_, err := f.send(0, config.Key, createTenant("9", "last"), 2*time.Second)
			return err == nil
		})
		_, err = f.send(1, config.Key, removeTenant("10", "last"), 2*time.Second)
		is.NoErr(err)
		sendAgain()
		_, err = f.send(0, config.Key, createTenant("2", "other"), 2*time.Second)
		is.True(apierror.Is(err, apierror.KeyReused))
		is.Equal(f.Options.Tenants, []string{"a", "b", "c"})
	})
}

// A caller is told that its order is forgotten rather than that it is new; the data plane is not told of the memory.
func TestForgottenOrderIsToldAndNothingOfItReachesTheProxies(t *testing.T) {
	t.Parallel()
	inBubble(t, options(401), func(is *is.I, f *Fleet) {
		first := accessKey("first", "spare", false)
		first.KnownVersion = 1
		accepted, err := f.send(0, "keys", first, 2*time.Second)
		is.NoErr(err)
		for n := range idempotency.MaxRemembered {
			again, err := f.send(0, "keys", first, 2*time.Second)
			is.NoErr(err)
			is.Equal(again, accepted)
			_, err = f.send(n%4, "keys", accessKey(fmt.Sprint(n), "other", n%2 == 1), 2*time.Second)
			is.True(err == nil || apierror.Is(err, apierror.Conflict))
			if err != nil { // the key is revoked: another order that changes something
				_, err = f.send(n%4, "keys", accessKey(fmt.Sprint(n, "again"), fmt.Sprint("other", n), false), 2*time.Second)
				is.NoErr(err)
			}
		}
		_, err = f.send(0, "keys", first, 2*time.Second)
		is.True(apierror.Is(err, apierror.Forgotten))
		time.Sleep(time.Second)
		answer, err := f.Query(0, "proxyfields")
		is.NoErr(err)
		is.True(len(answer.Rows) > 0)
		for _, row := range answer.Rows {
			is.True(!idempotency.IsField(fmt.Sprint(row["field"])))
		}
		status, _, _ := f.Ask(0, "a", "spare", chat("light"))
		is.Equal(status, 200)
	})
}

// subject is a thing that orders create and take away. What it is at any moment is one of its states.
type subject int

// The states of a subject.
const (
	absent subject = iota
	present
	revoked
)

// orderRun has operators send named orders on a few subjects and records what they are told.
type orderRun struct {
	*Fleet
	mu     sync.Mutex
	random *rand.Rand
	events int
	steps  map[string][]linearizability.Step[subject]
	sent   []sentOrder // those that were acknowledged
	counts map[string]int
	fault  error
	// keyless sends the orders without their keys, as a planted fault.
	keyless bool
}

// sentOrder is an acknowledged order, to be sent once more at any later time.
type sentOrder struct {
	name    string
	body    any
	version uint64
}

func (r *orderRun) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// event numbers a beginning or an end.
func (r *orderRun) event() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	return r.events
}

// submission is an order with the subject that it concerns and what each answer means.
type submission struct {
	subject string
	name    string
	body    any
	// from and to are the states that the order takes the subject from and to; refused is the code of a refusal in another state.
	from, to  []subject
	rejection apierror.Code
}

// order draws an order under a key of its own.
func (r *orderRun) order() submission {
	key := fmt.Sprint("order-", r.event())
	if r.keyless {
		key = ""
	}
	name := fmt.Sprint("t", r.draw(3))
	switch r.draw(4) {
	case 0:
		return submission{name, config.Key, createTenant(key, name), []subject{absent}, []subject{present}, apierror.Exists}
	case 1:
		return submission{name, config.Key, removeTenant(key, name), []subject{present}, []subject{absent}, apierror.Dangling}
	case 2:
		return submission{"key-" + name, "keys", accessKey(key, name, false), []subject{absent, present}, []subject{present, present}, apierror.Conflict}
	}
	return submission{"key-" + name, "keys", accessKey(key, name, true), []subject{present, revoked}, []subject{revoked, revoked}, apierror.NotFound}
}

// accepted and rejected are what an answer says of the subject's state.
func (d submission) accepted(state subject) (subject, bool) {
	at := slices.Index(d.from, state)
	if at < 0 {
		return state, false
	}
	return d.to[at], true
}

func (d submission) rejected(state subject) (subject, bool) {
	return state, !slices.Contains(d.from, state)
}

// submit sends an order until it has a verdict, as operators' tools do, and records it.
func (r *orderRun) submit() {
	d := r.order()
	begin := r.event()
	step := linearizability.Step[subject]{Begin: begin, End: linearizability.Never, Apply: d.accepted}
	outcome := "unclear"
	for range 12 {
		patience := 2 * time.Second
		if r.draw(3) == 0 {
			patience = time.Duration(1+r.draw(12)) * time.Millisecond
		}
		cores := r.cores()
		accepted, err := r.send(cores[r.draw(len(cores))], d.name, d.body, patience)
		if err == nil {
			step.End, outcome = r.event(), "accepted"
			r.remember(sentOrder{d.name, d.body, accepted.Version})
			break
		}
		if apierror.Is(err, d.rejection) {
			step.End, step.Apply, outcome = r.event(), d.rejected, "refused"
			break
		}
		time.Sleep(time.Duration(20+r.draw(400)) * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[outcome]++
	r.steps[d.subject] = append(r.steps[d.subject], step)
}

func (r *orderRun) remember(order sentOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, order)
}

// repeat sends an acknowledged order once more: if there is a verdict, it is the one of the first time.
func (r *orderRun) repeat() {
	r.mu.Lock()
	if len(r.sent) == 0 {
		r.mu.Unlock()
		return
	}
	order := r.sent[r.random.IntN(len(r.sent))]
	r.mu.Unlock()
	cores := r.cores()
	accepted, err := r.send(cores[r.draw(len(cores))], order.name, order.body, 2*time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	rejections := []apierror.Code{apierror.Exists, apierror.Dangling, apierror.Conflict, apierror.NotFound, apierror.KeyReused, apierror.Forgotten}
	rejected := slices.ContainsFunc(rejections, func(code apierror.Code) bool { return apierror.Is(err, code) })
	if rejected || err == nil && accepted.Version != order.version {
		raw, _ := json.Marshal(order.body) // a message always encodes
		r.fault = errors.Join(r.fault, fmt.Errorf("acknowledged as %d and sent again: %d, %w: %s", order.version, accepted.Version, err, raw))
	}
	r.counts["repeated"]++
}

// work has some operators send orders for a while.
func (r *orderRun) work(operators int, span time.Duration) {
	end := time.Now().Add(span)
	var working sync.WaitGroup
	for range operators {
		working.Go(func() {
			for time.Now().Before(end) {
				if r.draw(3) == 0 {
					r.repeat()
				} else {
					r.submit()
				}
				time.Sleep(time.Duration(r.draw(700)) * time.Millisecond)
			}
		})
	}
	working.Wait()
}

// check judges every subject's history.
func (r *orderRun) check() error {
	if r.fault != nil {
		return r.fault
	}
	for name, steps := range r.steps {
		steps = slices.Clone(steps)
		if len(steps) > 64 {
			return fmt.Errorf("%d orders on %s", len(steps), name)
		}
		if !linearizability.Explain(absent, steps) {
			return fmt.Errorf("no sequence of the %d orders on %s explains their answers", len(steps), name)
		}
	}
	return nil
}

// playOrders runs operators under random faults of the cores.
func playOrders(t *testing.T, seed uint64, keyless bool) (r *orderRun, fault error) {
	synctest.Test(t, func(t *testing.T) {
		options := numberedOptions(seed, 3+int(seed%3))
		options.Proxies = 0
		founded := false
		options.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = founded }
		f := NewFleet(options)
		defer f.Stop()
		r = &orderRun{Fleet: f, random: rand.New(rand.NewPCG(seed, 12)), steps: map[string][]linearizability.Step[subject]{}, counts: map[string]int{}, keyless: keyless}
		whole := &operators{Fleet: f}
		r.Until(15*time.Second, "the fleet is whole", whole.isFull)
		founded = true
		r.Until(10*time.Second, "the configuration is taken", func() bool {
			_, err := r.send(0, config.Key, controlplane.ConfigChange{Text: json.RawMessage(options.Config)}, 2*time.Second)
			return err == nil
		})
		var working sync.WaitGroup
		working.Go(func() { r.work(3, 36*time.Second) })
		c := &chaos{Fleet: f, random: rand.New(rand.NewPCG(seed, 13))}
		for range 3 { // a disk may be lost in each stretch, once the one before is made good
			t.Logf("seed %d: %q", seed, c.script(10*time.Second, coreFaults))
			if c.harmed != "" && whole.isFull() {
				c.harmed = ""
			}
		}
		working.Wait()
		fault = r.check()
	})
	return r, fault
}

// Operators whose answers are lost send their orders again under the same key while owners are killed, cut off, frozen and emptied: one
// sequence of orders explains all that they were told, each order in it once.
func TestNamedOrdersHaveOneEffectUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for n := range uint64(*orderSeeds) {
		seed := *orderFirst + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r, fault := playOrders(t, seed, false)
			t.Logf("seed %d: %v", seed, r.counts)
			if fault != nil {
				t.Errorf("seed %d (-order-seeds 1 -order-first %d): %v", seed, seed, fault)
			}
			is := is.New(t)
			is.True(r.counts["accepted"] > 10)
			is.True(r.counts["repeated"] > 3)
		})
	}
}

// The test of the test: the same orders without keys have several effects, and some run shows it.
func TestOrdersWithoutKeysAreFoundOut(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		if _, fault := playOrders(t, seed, true); fault != nil {
			t.Logf("seed %d: %v", seed, fault)
			return
		}
	}
	t.Error("no run shows that orders without keys are applied again")
}
