package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/golden"
	"asterridge/router"
)

var changing = regexp.MustCompile(`[A-Z2-7]{26}|"content":"[0-9a-f]{12}"|"again_ms":[0-9]+|present is [0-9]+(?: of core-[0-9]+\.[A-Z2-7]{26}\.[A-Z2-7]{26})?`)

// exchange writes down one whole exchange with a proxy.
func (f *Fleet) exchange(proxy int, method, address string, header map[string]string, body string) string {
	q := must(http.NewRequest(method, "http://"+ProxyAddress(proxy)+address, strings.NewReader(body)))
	var out strings.Builder
	fmt.Fprintf(&out, "> %s %s\n", method, address)
	for _, name := range []string{"Authorization", "Idempotency-Key", "X-Repeatable", "X-Deadline-Ms"} {
		if value, set := header[name]; set {
			q.Header.Set(name, value)
			fmt.Fprintf(&out, "> %s: %s\n", name, value)
		}
	}
	if len(body) > 200 {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	fmt.Fprintf(&out, "> %s\n", body)
	answer, err := f.Client.Do(q)
	if err != nil {
		fmt.Fprintf(&out, "< no answer\n\n")
		return out.String()
	}
	defer answer.Body.Close()
	fmt.Fprintf(&out, "< %s\n", answer.Status)
	for _, name := range []string{"Content-Type", "Retry-After", "X-Ran", "X-Result-Code", router.AttemptsHeader} {
		if value := answer.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "< %s: %s\n", name, value)
		}
	}
	var text bytes.Buffer
	_, err = io.Copy(&text, answer.Body)
	fmt.Fprintf(&out, "< %s\n", strings.ReplaceAll(strings.TrimSpace(text.String()), "\n", "\n< "))
	if err != nil {
		fmt.Fprintf(&out, "< (broken off)\n")
	}
	return out.String() + "\n"
}

func bearer(tenant string, more ...string) map[string]string {
	h := map[string]string{"Authorization": "Bearer " + tenant + "-key"}
	for i := 0; i+1 < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

const chatAddress = "/v1/chat/completions"

func TestGoldenOfWholeExchanges(t *testing.T) {
	t.Parallel()
	inBubble(t, options(3), func(is *is.I, f *Fleet) {
		var out strings.Builder
		say := func(title, exchange string) { fmt.Fprintf(&out, "# %s\n%s", title, exchange) }
		say("a stream", f.exchange(0, "POST", chatAddress, bearer("a"), chat("light")))
		say("no key", f.exchange(0, "POST", chatAddress, nil, chat("light")))
		say("an unknown key", f.exchange(0, "POST", chatAddress, bearer("nobody"), chat("light")))
		say("an unknown model", f.exchange(0, "POST", chatAddress, bearer("a"), chat("other")))
		say("a body that is not JSON", f.exchange(0, "POST", chatAddress, bearer("a"), "{"))
		say("a body without messages", f.exchange(0, "POST", chatAddress, bearer("a"), `{"model":"light"}`))
		say("a body over the path's bound", f.exchange(0, "POST", chatAddress, bearer("a"), chat("light")+strings.Repeat(" ", 1<<20)))
		say("a deadline that is no number", f.exchange(0, "POST", chatAddress, bearer("a", "X-Deadline-Ms", "soon"), chat("light")))
		say("a caller's key", f.exchange(0, "POST", chatAddress, bearer("a", "Idempotency-Key", "k1"), chat("light")))
		time.Sleep(time.Second)
		say("the same key again, by another proxy", f.exchange(1, "POST", chatAddress, bearer("a", "Idempotency-Key", "k1"), chat("light")))
		say("the same key of another tenant", f.exchange(1, "POST", chatAddress, bearer("c", "Idempotency-Key", "k1"), chat("light")))
		for _, r := range f.Replicas {
			r.Behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryAfter: "40"})
		}
		say("throttled for longer than the request may wait", f.exchange(0, "POST", chatAddress, bearer("a"), chat("light")))
		time.Sleep(200 * time.Millisecond)
		say("held by another proxy too, at once", f.exchange(2, "POST", chatAddress, bearer("a"), chat("light")))
		say("another tenant is not held", f.exchange(2, "POST", chatAddress, bearer("c"), chat("light")))
		for _, r := range f.Replicas {
			r.Behave(fake.Behaviour{Tenant: "c", BreakAfter: 1})
		}
		say("a stream that the replica breaks off", f.exchange(0, "POST", chatAddress, bearer("c", "Idempotency-Key", "k2"), chat("light")))
		time.Sleep(time.Second)
		say("its key again", f.exchange(1, "POST", chatAddress, bearer("c", "Idempotency-Key", "k2"), chat("light")))
		must(f.Order(0, "keys", controlplane.AccessKeyChange{Tenant: "b", Hash: config.HashKey("b-key"), Revoked: true}))
		time.Sleep(time.Second)
		say("a revoked key", f.exchange(0, "POST", chatAddress, bearer("b"), chat("light")))
		golden.Compare(t, "testdata/exchanges.txt", changing.ReplaceAllString(out.String(), "…"))
		noBreach(is, f)
	})
}

// evil is a replica that answers reports and its first request, and from then on reads each request and drops the connection.
type evil struct {
	requests atomic.Int64
	good     int64
}

func (e *evil) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/report" {
		fmt.Fprintf(w, `{"run":"e","number":%d,"weights":"w1","warm":true,"rate":100}`, time.Now().UnixMilli())
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if e.requests.Add(1) <= e.good {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{}`)
		return
	}
	panic(http.ErrAbortHandler)
}

// replaceReplicas puts one handler in the place of all replicas.
func (f *Fleet) replaceReplicas(handler http.Handler) (stop func()) {
	ip := "10.0.3.1"
	listener := must(f.Net.Host(ip).Listen(At(ip)))
	server := &http.Server{Handler: handler}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	changed := []string{fmt.Sprintf(`{"name":"evil","address":%q,"pool":"pool"}`, At(ip))}
	for i := range f.Options.Replicas {
		changed = append(changed, fmt.Sprintf(`{"name":%q,"state":"gone"}`, ReplicaName(i)))
	}
	must(f.Order(0, "replicas", controlplane.ReplicasChange{Text: json.RawMessage(`{"replicas":[` + strings.Join(changed, ",") + `]}`)}))
	time.Sleep(2 * time.Second)
	return func() { _ = server.Close(); running.Wait() }
}

// net/http resends by itself on a reused connection if it thinks a request replayable: with a key, that would be a second run.
func TestNothingIsResentOnAConnectionThatDiesAfterReading(t *testing.T) {
	t.Parallel()
	inBubble(t, options(4), func(is *is.I, f *Fleet) {
		e := &evil{good: 1}
		defer f.replaceReplicas(e)()
		status, _, _ := f.Ask(0, "a", "first", chat("light"))
		is.Equal(status, 200)
		status, code, _ := f.Ask(0, "a", "second", chat("light"))
		is.Equal(status, 502)
		is.Equal(code, "220") // outcome unknown, never "not run"
		is.Equal(e.requests.Load(), int64(2))
		status, code, _ = f.Ask(1, "a", "second", chat("light"))
		is.Equal(status, 409)
		is.Equal(code, "223")
		is.Equal(e.requests.Load(), int64(2))
	})
}

// small is a policy of a program's own.
type small struct{ most int }

func (s small) Handle(ctx context.Context, x *router.Exchange, onward func(context.Context, *router.Exchange) error) error {
	if len(x.Body) > s.most {
		return apierror.New(apierror.Oversize, "%d bytes, at most %d here", len(x.Body), s.most)
	}
	return onward(ctx, x)
}

// A program of somebody's own embeds the router beside an agent, with a policy of its own: the policy decides, and all else is as in the proxy.
func TestEmbeddedRouterWithAPolicyOfItsOwn(t *testing.T) {
	t.Parallel()
	inBubble(t, options(5), func(is *is.I, f *Fleet) {
		host := f.Net.Host(ProxyIP(0))
		own := router.New(router.Options{Name: "own", Zone: "zone-1", Fleet: fleetName, Agent: ProxyIP(0) + ":7001", Admin: ProxyIP(0) + ":7004",
			Net: host, Log: zerolog.Nop(), PrefixIndexSize: 1000, Filters: []router.Filter{small{300}}})
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { own.Run(ctx) })
		server := &http.Server{Handler: own.Handler()}
		listener := must(host.Listen(ProxyIP(0) + ":7005"))
		running.Go(func() { _ = server.Serve(listener) })
		f.Until(5*time.Second, "the embedded router is ready", own.IsReady)
		ask := func(body string) string {
			q := must(http.NewRequest(http.MethodPost, "http://"+ProxyIP(0)+":7005"+chatAddress, strings.NewReader(body)))
			q.Header.Set("Authorization", "Bearer a-key")
			q.Header.Set("X-Caller-Tag", fmt.Sprint("embedded ", len(body)))
			answer := must(f.Client.Do(q))
			defer answer.Body.Close()
			_, err := io.Copy(io.Discard, answer.Body)
			is.NoErr(err)
			return fmt.Sprint(answer.StatusCode, " ", answer.Header.Get("X-Result-Code"), " ", answer.Header.Get("X-Ran"))
		}
		is.Equal(ask(chat("light")), "200  ")
		is.Equal(ask(strings.Replace(chat("light"), "where", strings.Repeat("where ", 100), 1)), "413 106 no")
		f.behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryAfter: "50"})
		f.Ask(1, "a", "", chat("light"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(ask(chat("light")), "429 210 no") // it holds whom the fleet holds
		stop()
		_ = server.Close()
		running.Wait()
		noBreach(is, f)
	})
}

// attentive notes the headers that come.
type attentive struct {
	mu   sync.Mutex
	last http.Header
}

func (a *attentive) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/report" {
		fmt.Fprintf(w, `{"run":"a","number":%d,"weights":"w1","warm":true,"rate":100}`, time.Now().UnixMilli())
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	a.mu.Lock()
	a.last = q.Header
	a.mu.Unlock()
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{}`)
}

// What the router says to replicas callers cannot say for it: not where to fetch a prefix from, nor for whom, nor under which id.
func TestCallersCannotSpeakForTheRouter(t *testing.T) {
	t.Parallel()
	inBubble(t, options(6), func(is *is.I, f *Fleet) {
		a := &attentive{}
		defer f.replaceReplicas(a)()
		q := must(http.NewRequest(http.MethodPost, "http://"+ProxyAddress(0)+chatAddress, strings.NewReader(chat("light"))))
		q.Header.Set("Authorization", "Bearer b-key")
		for _, name := range []string{"X-Request-Id", "X-Tenant", "X-Cache-Domain", "X-Expect-Weights", "X-Prefix-From"} {
			q.Header.Set(name, "mine")
		}
		answer := must(f.Client.Do(q))
		_ = answer.Body.Close()
		is.Equal(answer.StatusCode, 200)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.last.Get("X-Tenant"), "b")
		is.Equal(a.last.Get("X-Expect-Weights"), "w1")
		is.True(strings.HasPrefix(a.last.Get("X-Cache-Domain"), "tenant:b."))
		is.Equal(a.last.Get("X-Request-Id"), answer.Header.Get("X-Request-Id"))
		is.Equal(a.last.Get("X-Prefix-From"), "")
		is.Equal(a.last.Get("Authorization"), "") // an access key does not go further than here
	})
}
