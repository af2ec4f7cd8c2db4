package sim

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"asterridge/controlplane"
	"asterridge/fake"
)

// Load sends the requests of a load and returns when all have been answered.
func (f *Fleet) Load(count int, rate float64, callers []fake.Client, seed uint64) []fake.Exchange {
	return f.record(fake.Load, fake.LoadOptions{Callers: callers, Count: count, Rate: rate, Seed: seed, Prefix: fmt.Sprintf("s%d", seed)})
}

// record runs clients at all proxies and keeps their ledger.
func (f *Fleet) record(play func(context.Context, fake.LoadOptions), o fake.LoadOptions) (all []fake.Exchange) {
	for i := range f.Proxies {
		o.Proxies = append(o.Proxies, ProxyAddress(i))
	}
	var mu sync.Mutex
	o.Client, o.Keyed, o.Repeat, o.Deadline = f.Client, 0.3, 0.2, time.Minute
	o.Ledger = func(a fake.Exchange) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, a)
	}
	play(context.Background(), o)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Ledgers.Asked = append(f.Ledgers.Asked, all...)
	return all
}

// Rest is called once every machine is back. Service must return (rule 12), operators repair what needs it, and then all processes must
// hold the same configuration (rule 11).
func (f *Fleet) Rest(caller fake.Client, repair func()) (back []time.Duration) {
	f.FactLog.Add(fake.Fact{Kind: fake.Returned})
	f.record(func(ctx context.Context, o fake.LoadOptions) {
		ctx, stop := context.WithTimeout(ctx, 15*time.Second)
		defer stop()
		fake.Probe(ctx, o)
	}, fake.LoadOptions{Callers: []fake.Client{caller}, Prefix: "back" + fmt.Sprint(time.Now().UnixMilli())})
	repair()
	time.Sleep(5 * time.Second) // what was undecided is settled, and all have caught up
	var rest []fake.State
	for _, i := range f.cores() {
		if a, err := f.Query(i, "fields"); err == nil {
			rest = append(rest, fake.States(rows(a))...)
		}
	}
	a, _ := f.Query(f.cores()[0], "proxyfields")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Ledgers.Rest = append(rest, fake.States(rows(a))...)
	f.Ledgers.Facts = f.FactLog.Facts()
	return fake.Returns(f.Ledgers)
}

// cores lists the core machines that were not replaced for good.
func (f *Fleet) cores() (all []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.Disks {
		if !f.replaced[i] {
			all = append(all, i)
		}
	}
	return all
}

// rows are the answer to a query.
func rows(a controlplane.QueryResponse) (all []map[string]any) {
	for _, row := range a.Rows {
		all = append(all, row)
	}
	return all
}

// Ask sends one chat request and returns its status, result code and body.
func (f *Fleet) Ask(proxy int, tenant, key, body string) (status int, code, text string) {
	q := must(http.NewRequest(http.MethodPost, "http://"+ProxyAddress(proxy)+"/v1/chat/completions", bytes.NewReader([]byte(body))))
	q.Header.Set("Authorization", "Bearer "+tenant+"-key")
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	q.Header.Set("X-Caller-Tag", fmt.Sprint("by hand ", f.asked.Add(1)))
	answer, err := f.Client.Do(q)
	if err != nil {
		return 0, "", err.Error()
	}
	defer answer.Body.Close()
	var all bytes.Buffer
	_, err = all.ReadFrom(answer.Body)
	if err != nil {
		return answer.StatusCode, answer.Header.Get("X-Result-Code"), "broken off: " + err.Error()
	}
	return answer.StatusCode, answer.Header.Get("X-Result-Code"), all.String()
}

// Check compares the ledgers.
func (f *Fleet) Check() []fake.Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Ledgers.Facts = f.FactLog.Facts()
	return fake.Check(f.Ledgers)
}

// Stop ends every process, so that the bubble can end.
func (f *Fleet) Stop() {
	f.mu.Lock()
	kills := f.kills
	f.mu.Unlock()
	for _, kill := range kills {
		kill()
	}
	f.running.Wait()
	f.Net.End()
	time.Sleep(time.Minute) // what was let loose comes to its own end
}
