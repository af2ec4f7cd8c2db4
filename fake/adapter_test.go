package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/router"
)

// A replica takes orders in their sequence and under rising leases; it drops no base on which work runs, and refuses what it has not as not run.
func TestReplicaTakesOrdersForBasesAndAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines []Run
		r := NewReplica(ReplicaOptions{Name: "r-1", Kind: "model", Weights: "w1", Limit: 4, Rate: 100, ChunkMs: 1000, LoadMs: 1000, Blocks: 10, Ledger: func(line Run) { lines = append(lines, line) }})
		handler := r.Handler()
		on := config.Placement{Adapter: "huts", Base: "m1", Build: "h1"}
		order := func(do string, lease uint64) int {
			raw, _ := json.Marshal(router.AdapterOrder{Placement: on, Do: do, Lease: lease})
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, router.AdapterPath, bytes.NewReader(raw)))
			return w.Code
		}
		ask := func() (int, string) {
			q := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"huts","max_tokens":3,"messages":[{"role":"user","content":"when"}]}`))
			for name, value := range map[string]string{"X-Expect-Weights": "w1", "X-Adapter": on.Adapter, "X-Base": on.Base, "X-Adapter-Build": on.Build, "X-Request-Id": "x"} {
				q.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, q)
			body, _ := io.ReadAll(w.Body)
			return w.Code, string(body)
		}
		refused := func(why string) {
			t.Helper()
			status, body := ask()
			is.Equal(status, 412)
			is.True(strings.Contains(body, why))
		}
		refused("base_gone")
		is.Equal(order(router.LoadAdapter, 5), 409) // no base yet
		is.Equal(order(router.LoadBase, 5), 200)
		refused("base_gone") // it loads
		time.Sleep(1100 * time.Millisecond)
		refused("adapter_gone")
		is.Equal(order(router.TryAdapter, 5), 409) // not loaded
		is.Equal(order(router.LoadAdapter, 6), 200)
		is.Equal(order(router.LoadAdapter, 5), 409) // an older lease
		time.Sleep(300 * time.Millisecond)
		refused("adapter_gone") // not tried yet
		is.Equal(order(router.TryAdapter, 6), 200)
		go ask()
		time.Sleep(500 * time.Millisecond)
		is.Equal(order(router.DropBase, 6), 409) // work runs on it
		time.Sleep(3 * time.Second)
		is.Equal(r.adapterReport().Adapters["huts@m1"], router.Adapter{Build: "h1", State: router.AdapterTried, Live: 1})
		is.Equal(order(router.DropBase, 5), 409) // late
		is.Equal(order(router.DropBase, 7), 200)
		is.Equal(lines[len(lines)-1].Dropped, "m1")
		is.Equal(len(r.adapterReport().Bases)+len(r.adapterReport().Adapters), 0)
		refused("base_gone")
		is.Equal(order("paint", 7), 400)
		r.Behave(Behaviour{BadBuild: "h1"})
		for _, do := range []string{router.LoadBase, router.LoadAdapter, router.TryAdapter} {
			is.Equal(order(do, 7), 200)
			time.Sleep(2 * time.Second)
		}
		is.Equal(r.adapterReport().Adapters["huts@m1"].State, router.AdapterBad)
		refused("adapter_gone")
	})
}
