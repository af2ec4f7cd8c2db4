// Command fakebackend plays a system outside the fleet: a replica or web back end, or the callers.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/fake"
	"asterridge/rpc"
)

const help = `fakebackend plays a system outside the fleet.

  fakebackend replica FLAGS   a model replica or web back end
  fakebackend callers FLAGS   callers of the three kinds and of the web back end
  fakebackend platform FLAGS  tells the cores which replicas there are, from a file, whenever the file changes

Each role lists its flags with -h.
`

func main() {
	if len(os.Args) < 2 || os.Args[1] == "-h" || os.Args[1] == "--help" {
		fmt.Print(help)
		return
	}
	role := os.Args[1]
	os.Args = append(os.Args[:1], os.Args[2:]...)
	switch role {
	case "replica":
		replica()
	case "callers":
		callers()
	case "platform":
		platform()
	default:
		fmt.Fprintf(os.Stderr, "no role %q\n%s", role, help)
		os.Exit(2)
	}
}

// ledger appends JSON lines to a file, or to nothing if there is no path.
func ledger[T any](path string) (add func(T), shut func()) {
	if path == "" {
		return func(T) {}, func() {}
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var mu sync.Mutex
	lines := bufio.NewWriter(file)
	return func(line T) {
		raw, _ := json.Marshal(line) // plain structs always encode
		mu.Lock()
		defer mu.Unlock()
		_, _ = lines.Write(append(raw, '\n')) // a ledger that cannot be written shows in the check
		_ = lines.Flush()                     // as above
	}, func() { _ = file.Close() } // each line was flushed
}

func replica() {
	s := daemon.NewSettings("fakebackend replica", "a model replica or web back end")
	kind := s.Text("kind", "model", "model, web or store")
	fetch := s.Integer("link", 400, 1, 1000000, "bytes of a prefix fetched per ms")
	store := s.Address("store", "`ip:port` of a store that new blocks are put into")
	weights := s.Text("weights", "w1", "weights loaded at the start")
	limit := s.Integer("limit", 8, 1, 10000, "requests at a time")
	rate := s.Integer("rate", 60, 1, 1000000, "bytes of prompt read anew per ms")
	piece := s.Integer("piece_ms", 10, 0, 10000, "`ms` between two pieces")
	load := s.Integer("load_ms", 1500, 0, 600000, "`ms` that loading weights takes")
	warm := s.Integer("warm_ms", 1000, 0, 600000, "`ms` of slowness after a start or load")
	blocks := s.Integer("blocks", 2000, 1, 1000000, "blocks of prompts kept")
	file := s.Text("ledger", "", "`file` that the ledger is added to")
	s.Require("name", "address")
	daemon.Main(s, func(ctx context.Context) error {
		add, shut := ledger[fake.Run](*file)
		defer shut()
		r := fake.NewReplica(fake.ReplicaOptions{Name: s.Host.Name, Kind: *kind, Weights: *weights, Limit: *limit, Rate: float64(*rate),
			ChunkMs: *piece, LoadMs: *load, WarmMs: *warm, Blocks: *blocks, Ledger: add,
			Link: float64(*fetch), Store: *store, Client: &http.Client{}})
		listener, err := s.Listen()
		if err != nil {
			return err
		}
		server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 10 * time.Second}
		go func() { <-ctx.Done(); _ = server.Close() }() // the process ends
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
}

func callers() {
	s := daemon.NewSettings("fakebackend callers", "callers of the three kinds and of the web back end")
	proxies := s.Text("proxies", "", "`ip:port`s of the proxies, with commas")
	keys := s.Text("keys", "", "tenant=key=weight, with commas")
	count := s.Integer("count", 500, 1, 1000000, "requests in all")
	rate := s.Integer("rate", 50, 1, 100000, "requests a second")
	keyed := s.Integer("keyed", 20, 0, 100, "percent with an idempotency key")
	repeat := s.Integer("repeat", 10, 0, 100, "percent that may be repeated")
	seed := s.Integer("seed", 1, 0, 1<<40, "seed of the mix")
	prefix := s.Text("prefix", "c", "what tags begin with")
	file := s.Text("ledger", "", "`file` that the ledger is added to")
	s.Require("proxies", "keys")
	daemon.Main(s, func(ctx context.Context) error {
		add, shut := ledger[fake.Exchange](*file)
		defer shut()
		var mu sync.Mutex
		var all []fake.Exchange
		o := fake.LoadOptions{Proxies: strings.Split(*proxies, ","), Count: *count, Rate: float64(*rate), Keyed: float64(*keyed) / 100,
			Repeat: float64(*repeat) / 100, Seed: uint64(*seed), Prefix: *prefix, Deadline: 60 * time.Second,
			Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
			Ledger: func(a fake.Exchange) {
				add(a)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			}}
		for _, word := range strings.Split(*keys, ",") {
			var c fake.Client
			parts := strings.Split(word, "=")
			if len(parts) != 3 {
				return fmt.Errorf("keys: %q is not tenant=key=weight", word)
			}
			c.Tenant, c.Access = parts[0], parts[1]
			if _, err := fmt.Sscan(parts[2], &c.Weight); err != nil || c.Weight < 1 {
				return fmt.Errorf("keys: weight of %q", word)
			}
			o.Callers = append(o.Callers, c)
		}
		fake.Load(ctx, o)
		fmt.Println(fake.Summary(all))
		return nil
	})
}

// platform posts the file's text (as in docs/operators.md) to the first core that takes it, at once and after each change of the file.
func platform() {
	s := daemon.NewSettings("fakebackend platform", "tells the cores which replicas there are")
	cores := s.Text("cores", "", "`ip:port`s of cores, with commas")
	file := s.Text("file", "", "`file` with {\"replicas\":[…]}")
	s.Require("cores", "file")
	daemon.Main(s, func(ctx context.Context) error {
		wire := rpc.NewClient(s.Host.Fleet, s.Host.Net)
		told := ""
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for {
			text, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			if !json.Valid(text) {
				s.Host.Log.Warn().Str("file", *file).Msg("file is not JSON")
			} else if string(text) != told && sendUpdate(ctx, wire, strings.Split(*cores, ","), text, s.Host.Log) {
				told = string(text)
			}
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

func sendUpdate(ctx context.Context, wire *rpc.Client, cores []string, text []byte, log zerolog.Logger) bool {
	for _, core := range cores {
		short, stop := context.WithTimeout(ctx, 5*time.Second)
		a, err := rpc.Call[controlplane.Accepted](short, wire, core, "/op/replicas", controlplane.ReplicasChange{Text: text})
		stop()
		if err == nil {
			log.Info().Str("core", core).Uint64("version", a.Version).Msg("replicas reported to the core")
			return true
		}
		log.Warn().Str("core", core).Err(err).Msg("replicas not reported to the core")
	}
	return false
}
