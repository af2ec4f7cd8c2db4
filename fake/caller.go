package fake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"asterridge/api"
	"asterridge/router"
	"asterridge/rpc"
)

// Exchange is a line of the callers' ledger: one request and what the caller received.
type Exchange struct {
	Tag        string    `json:"tag"`
	Tenant     string    `json:"tenant"`
	Access     string    `json:"access"`
	Kind       string    `json:"kind"`
	Proxy      string    `json:"proxy"`
	Idempotent bool      `json:"repeatable"`
	Key        string    `json:"key,omitempty"`
	At         time.Time `json:"at"`
	FirstMs    int64     `json:"first_ms"`
	AllMs      int64     `json:"all_ms"`
	Status     int       `json:"status"`
	Code       int       `json:"code"` // result code of a rejection; 0 if there is none
	Ran        string    `json:"ran"`  // what the rejection says about execution
	AgainMs    int64     `json:"again_ms,omitempty"`
	ID         string    `json:"id"`               // request ID that the answer names
	WaitedMs   int64     `json:"waited,omitempty"` // milliseconds in the queue of the proxy, as the answer says
	Sum        string    `json:"sum"`              // hash of the received bytes
	Length     int       `json:"length"`
	Ended      bool      `json:"ended"` // the answer ended as complete
	Config     uint64    `json:"blueprint"`
	Failure    string    `json:"failure,omitempty"`
}

// RequestKind is one of the three kinds of streaming request, or "web".
type RequestKind struct {
	Name   string
	Prefix int // bytes that all requests of the kind and tenant group share
	Own    int // bytes that only this request has
	Chunks int
	Weight int
	Keyed  bool
}

// Kinds lists every kind of request: the three of chat, and the calls of the web back end.
var Kinds = []RequestKind{
	{Name: "light", Prefix: 512, Own: 128, Chunks: 5, Weight: 40},
	{Name: "middle", Prefix: 4096, Own: 512, Chunks: 15, Weight: 15},
	{Name: "heavy", Prefix: 24576, Own: 512, Chunks: 25, Weight: 35},
	{Name: "web", Weight: 10},
}

// Client is the user of one access key.
type Client struct {
	Tenant string `json:"tenant"`
	Access string `json:"access"`
	Weight int    `json:"weight"`
}

// LoadOptions configure a run of callers.
type LoadOptions struct {
	Callers  []Client
	Proxies  []string
	Client   *http.Client
	Count    int     // number of requests
	Rate     float64 // requests per second
	Keyed    float64 // share of the requests that have an idempotency key
	Repeat   float64 // share of the requests that may be executed more than once
	Seed     uint64
	Prefix   string // of the tags, so that those of several runs differ
	Ledger   func(Exchange)
	Deadline time.Duration // of each request, until its answer is complete
	Kinds    []RequestKind // default: Kinds
	Heavy    int           // bytes of the heaviest kind's prefix, in eight sessions; 0: as in Kinds
}

// words is the vocabulary of the generated prompts.
var words = strings.Fields("ridge karri track creek map summit gate bridge marker valley tenor vowel stress dialect tape reel village elder song river mountain coast north west")

// text returns words drawn from a seed; the same seed gives the same text.
func text(size int, seed string) string {
	h := sha256.Sum256([]byte(seed))
	random := rand.New(rand.NewChaCha8(h))
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:size]
}

// Load sends the requests at their scheduled times and waits until all have ended.
func Load(ctx context.Context, o LoadOptions) {
	random := rand.New(rand.NewPCG(o.Seed, 7))
	var all sync.WaitGroup
	next := time.Now()
	for i := range o.Count {
		next = next.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		a := pickKind(o, random, i)
		if rpc.Sleep(ctx, time.Until(next)) != nil {
			all.Wait()
			return
		}
		all.Go(func() { o.Ledger(ask(ctx, o, a)) })
	}
	all.Wait()
}

// probeInterval is the time between an answer that Probe cannot take for whole and its next request.
const probeInterval = 50 * time.Millisecond

// Probe sends requests to each proxy, with the first caller's key, until it receives a whole answer. Every request is recorded in the
// ledger.
func Probe(ctx context.Context, o LoadOptions) {
	var all sync.WaitGroup
	for _, proxy := range o.Proxies {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				one := Exchange{Tag: fmt.Sprintf("%s-%s-%d", o.Prefix, proxy, n), Tenant: o.Callers[0].Tenant, Access: o.Callers[0].Access, Kind: "light", Proxy: proxy}
				a := ask(ctx, o, chatOf(one, Kinds[0], 0))
				o.Ledger(a)
				if a.Status == 200 && a.Ended {
					return
				}
				_ = rpc.Sleep(ctx, probeInterval) // the loop ends with the context
			}
		})
	}
	all.Wait()
}

// drawn is one request of the load, as drawn from the seed.
type drawn struct {
	Exchange
	chat api.Chat
}

// pickKind draws a kind of request by the configured shares.
func pickKind(o LoadOptions, random *rand.Rand, i int) drawn {
	sum := 0
	for _, c := range o.Callers {
		sum += c.Weight
	}
	pick, caller := random.IntN(sum), o.Callers[0]
	for _, c := range o.Callers {
		if pick -= c.Weight; pick < 0 {
			caller = c
			break
		}
	}
	pick = random.IntN(100)
	kind := Kinds[0]
	kinds := o.Kinds
	if kinds == nil {
		kinds = Kinds
	}
	for _, k := range kinds {
		if pick -= k.Weight; pick < 0 {
			kind = k
			break
		}
	}
	var d drawn
	d.Tag = fmt.Sprintf("%s-%d", o.Prefix, i)
	d.Tenant, d.Access, d.Kind = caller.Tenant, caller.Access, kind.Name
	d.Proxy = o.Proxies[random.IntN(len(o.Proxies))]
	d.Idempotent = random.Float64() < o.Repeat
	if random.Float64() < o.Keyed {
		d.Key = "k-" + d.Tag
	}
	if kind.Name != "web" {
		d = chatOf(d.Exchange, kind, random.IntN(3))
	}
	if kind.Name == "heavy" && o.Heavy > 0 { // a third that all share, then one of eight sessions
		d.chat.Messages[0].Content = text(o.Heavy/3, "shared") + text(2*o.Heavy/3, "session"+strconv.Itoa(random.IntN(8)))
	}
	return d
}

// chatOf returns a chat of a kind that starts with one of three openings; tenants share the openings, so that a leak of cached prefixes
// would show.
func chatOf(a Exchange, kind RequestKind, beginning int) drawn {
	stream := true
	return drawn{a, api.Chat{Model: kind.Name, Stream: &stream, MaxTokens: &kind.Chunks, Messages: []api.Message{
		{Role: "system", Content: text(kind.Prefix, kind.Name+strconv.Itoa(beginning))}, {Role: "user", Content: text(kind.Own, a.Tag)}}}}
}

// send makes one request with the generated client. Calls of the web back end are not in the schema and go by plain HTTP.
func send(ctx context.Context, o LoadOptions, d drawn) (*http.Response, error) {
	dress := func(_ context.Context, q *http.Request) error {
		q.GetBody = nil // net/http must not send a keyed request a second time by itself
		q.Header.Set("Authorization", "Bearer "+d.Access)
		q.Header.Set("X-Caller-Tag", d.Tag)
		return nil
	}
	if d.Kind == "web" {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Proxy+"/web/page/"+strconv.Itoa(len(d.Tag)), nil)
		if err != nil {
			return nil, err
		}
		_ = dress(ctx, q) // it fails for a missing key alone, and there is one
		return o.Client.Do(q)
	}
	client, err := api.NewClient("http://"+d.Proxy, api.WithHTTPClient(o.Client), api.WithRequestEditorFn(dress))
	if err != nil {
		return nil, err
	}
	p := &api.ChatCompletionsParams{}
	if d.Idempotent {
		yes := api.ChatCompletionsParamsXRepeatable("yes")
		p.XRepeatable = &yes
	}
	if d.Key != "" {
		p.IdempotencyKey = &d.Key
	}
	return client.ChatCompletions(ctx, p, d.chat)
}

// ask sends one request and reads its whole answer.
func ask(ctx context.Context, o LoadOptions, d drawn) Exchange {
	ctx, stop := context.WithTimeout(ctx, o.Deadline)
	defer stop()
	a := d.Exchange
	a.At = time.Now()
	answer, err := send(ctx, o, d)
	if err != nil {
		a.Failure = err.Error()
		a.AllMs = time.Since(a.At).Milliseconds()
		return a
	}
	defer answer.Body.Close()
	a.Status, a.Ran, a.ID = answer.StatusCode, answer.Header.Get("X-Ran"), answer.Header.Get("X-Request-Id")
	a.WaitedMs, _ = strconv.ParseInt(answer.Header.Get("X-Waited-Ms"), 10, 64)
	a.Code, _ = strconv.Atoi(answer.Header.Get("X-Result-Code"))
	a.Config, _ = strconv.ParseUint(answer.Header.Get(router.VersionHeader), 10, 64)
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		a.AgainMs = int64(seconds) * 1000
	}
	h := sha256.New()
	buffer := make([]byte, 16<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if a.FirstMs == 0 {
				a.FirstMs = max(1, time.Since(a.At).Milliseconds())
			}
			h.Write(buffer[:n])
			a.Length += n
		}
		if err == io.EOF {
			a.Ended = true
			break
		}
		if err != nil {
			a.Failure = err.Error()
			break
		}
	}
	a.AllMs = time.Since(a.At).Milliseconds()
	a.Sum = hex.EncodeToString(h.Sum(nil)[:12])
	return a
}
