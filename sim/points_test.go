package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/controlplane"
)

// broken is a replica that breaks its answers at one point.
type broken struct{ at string }

func (b *broken) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/report" {
		fmt.Fprintf(w, `{"run":"b","number":%d,"weights":"w1","warm":true,"rate":100}`, time.Now().UnixMilli())
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	stream := func(chunks ...string) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, chunk := range chunks {
			_, _ = io.WriteString(w, "data: "+chunk+"\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
	switch b.at {
	case "reset before the headers":
	case "reset after the headers":
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
	case "reset in mid-stream":
		stream("{}", "{}")
	case "reset before the end mark's end":
		stream("{}", "{}", "[DON")
	case "clean end without the end mark":
		stream("{}", "{}")
		return
	case "another request's answer":
		w.Header().Set("X-Request-Id", "somebody")
		stream("{}", "[DONE]")
		return
	case "short of its content length":
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "{}")
	case "silent past the deadline":
		time.Sleep(5 * time.Second)
		stream("{}", "[DONE]")
		return
	case "whole":
		stream("{}", "[DONE]")
		return
	}
	panic(http.ErrAbortHandler)
}

// Whichever point a replica's answer breaks at, the caller never gets what looks like a finished answer, nor "not run".
func TestAnswersBrokenAtEveryPoint(t *testing.T) {
	t.Parallel()
	inBubble(t, options(80), func(is *is.I, f *Fleet) {
		b := &broken{}
		defer f.replaceReplicas(b)()
		for _, c := range []struct{ at, want string }{
			{"whole", "200 whole"},
			{"reset before the headers", "502 code 220"},
			{"reset after the headers", "502 code 220"},
			{"reset in mid-stream", "200 broken off"},
			{"reset before the end mark's end", "200 broken off"},
			{"clean end without the end mark", "200 broken off"},
			{"another request's answer", "502 code 226"},
			{"short of its content length", "502 code 220"},
			{"silent past the deadline", "502 code 220"},
			{"whole", "200 whole"},
		} {
			b.at = c.at
			time.Sleep(3 * time.Second) // the replica is left alone for a while after a failure
			exchange := f.exchange(0, "POST", chatAddress, bearer("a", "X-Deadline-Ms", "3000"), chat("light"))
			got := "200 whole"
			switch {
			case strings.Contains(exchange, "broken off"):
				got = "200 broken off"
			case strings.Contains(exchange, "X-Result-Code: 220"):
				got = "502 code 220"
			case strings.Contains(exchange, "X-Result-Code: 226"):
				got = "502 code 226"
			case !strings.Contains(exchange, "[DONE]"):
				got = exchange
			}
			is.Equal(c.at+": "+got, c.at+": "+c.want)
			is.True(got == "200 whole" || !strings.Contains(exchange, "X-Ran: no"))
		}
	})
}

// BenchmarkRequest is one short chat through proxy and replica over the test network, in real time; allocations are of all of them.
func BenchmarkRequest(b *testing.B) {
	o := options(1)
	o.Proxies, o.Replicas = 1, 1
	o.Replica.ChunkMs, o.Replica.WarmMs, o.Replica.Rate = 0, 0, 1e9
	f := NewFleet(o)
	f.Net.Delay = 0
	defer f.Stop()
	f.Configure()
	b.ReportAllocs()
	for b.Loop() {
		if status, code, _ := f.Ask(0, "a", "", chat("light")); status != 200 {
			b.Fatal(status, code)
		}
	}
}

// The rejections that need the fleet in some state.
func TestRejectionsOfFleetStates(t *testing.T) {
	t.Parallel()
	inBubble(t, options(81), func(is *is.I, f *Fleet) {
		long := `{"model":"light","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"a long one"}]}`
		var first sync.WaitGroup
		first.Go(func() {
			status, _, _ := f.Ask(0, "a", "twice", long)
			is.Equal(status, 200)
		})
		time.Sleep(300 * time.Millisecond)
		_, code, _ := f.Ask(1, "a", "twice", chat("light"))
		is.Equal(code, "222") // in progress, by whichever proxy
		first.Wait()
		time.Sleep(300 * time.Millisecond)
		_, code, _ = f.Ask(2, "a", "twice", chat("light"))
		is.Equal(code, "224")
		for i := range 2 { // two of four cores gone: no claim, though the proxy is current for a moment yet
			f.Kill(CoreIP(i))
		}
		_, code, _ = f.Ask(1, "a", "unclaimed", chat("light"))
		is.Equal(code, "225")
		for _, run := range f.Ledgers.Runs {
			is.True(run.Tag != "unclaimed") // no majority, no send
		}
		for i := range 2 {
			f.StartCore(i)
		}
		f.Until(10*time.Second, "all are ready", f.AreReady)
		var changed []string
		for i := range f.Options.Replicas {
			changed = append(changed, fmt.Sprintf(`{"name":%q,"state":"leaving"}`, ReplicaName(i)))
		}
		must(f.Order(2, "replicas", controlplane.ReplicasChange{Text: json.RawMessage(`{"replicas":[` + strings.Join(changed, ",") + `]}`)}))
		time.Sleep(time.Second)
		began := time.Now()
		_, code, _ = f.Ask(0, "a", "", chat("light"))
		is.Equal(code, "213")
		is.True(time.Since(began) < 100*time.Millisecond) // at once
	})
}

// A caller's key is remembered for its time at the least, also by a new owner, and then forgotten on every disk.
func TestClaimsAreForgottenByAgeAndNotBefore(t *testing.T) {
	t.Parallel()
	o := options(82)
	o.ClaimRetention = 10 * time.Second
	inBubble(t, o, func(is *is.I, f *Fleet) {
		ask := func(proxy int, key string) string {
			_, code, _ := f.Ask(proxy, "a", key, chat("light"))
			return code
		}
		var keys []string
		for i := range 12 {
			keys = append(keys, fmt.Sprint("key-", i))
			is.Equal(ask(0, keys[i]), "")
		}
		time.Sleep(8 * time.Second)
		for _, key := range keys {
			is.Equal(ask(1, key), "224")
		}
		f.Kill(CoreIP(0)) // its groups get a new owner, which counts anew
		time.Sleep(4 * time.Second)
		f.StartCore(0)
		f.Until(30*time.Second, "no claim is left on any disk", func() bool { return f.claims(1)+f.claims(2)+f.claims(3) == 0 })
		is.Equal(ask(1, keys[0]), "")
	})
}

// claims counts the claims that a core keeps.
func (f *Fleet) claims(core int) (n int) {
	a, err := f.Query(core, "owners")
	if err != nil {
		return -1
	}
	for _, row := range a.Rows {
		if strings.HasPrefix(row["key"].(string), "claims/") {
			n += int(row["fields"].(float64))
		}
	}
	return n
}

// A caller that stops reading, and one that leaves, free the replica's slot and the credit.
func TestCallersThatStopReadingOrLeaveFreeTheirCredit(t *testing.T) {
	t.Parallel()
	inBubble(t, options(83), func(is *is.I, f *Fleet) {
		endless := `{"model":"light","stream":true,"max_tokens":60000,"messages":[{"role":"user","content":"a long one"}]}`
		running := func() (n int64) {
			a, err := f.Query(0, "replicas")
			is.NoErr(err)
			for _, row := range a.Rows {
				if row["proxy"] == "proxy-1" {
					n += int64(row["own_running"].(float64))
				}
			}
			return n
		}
		for range 2 {
			q := must(http.NewRequest(http.MethodPost, "http://"+ProxyAddress(0)+chatAddress, strings.NewReader(endless)))
			q.Header.Set("Authorization", "Bearer a-key")
			answer := must(f.Client.Do(q)) // and never read on
			defer answer.Body.Close()
		}
		gone, leave := context.WithCancel(context.Background())
		q := must(http.NewRequestWithContext(gone, http.MethodPost, "http://"+ProxyAddress(0)+chatAddress, strings.NewReader(endless)))
		q.Header.Set("Authorization", "Bearer a-key")
		answer := must(f.Client.Do(q))
		time.Sleep(time.Second)
		is.Equal(running(), int64(3))
		leave()
		_ = answer.Body.Close()
		f.Until(time.Second, "the one that left is over", func() bool { return running() == 2 })
		f.Until(3*time.Minute, "those that do not read are over", func() bool { time.Sleep(time.Second); return running() == 0 })
	})
}
