package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/soak"
)

// buildFolder is where the tests' programs stand; empty until they are built.
var buildFolder string

// buildPrograms builds the product's own programs once.
var buildPrograms = sync.OnceValue(func() (err error) {
	if buildFolder, err = os.MkdirTemp("", "asterridge-build-"); err != nil {
		return err
	}
	command := exec.Command("go", "build", "-o", buildFolder, "./cmd/core", "./cmd/agent", "./cmd/proxy")
	command.Dir = ".."
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if buildFolder != "" {
		_ = os.RemoveAll(buildFolder) // a temporary folder
	}
	os.Exit(code)
}

// programs are the product's own programs, spoken to by the chat protocol.
type programs struct {
	rpc *rpc.Client
	// listed counts the updates of the list of replicas.
	listed *atomic.Uint64
}

var _ soak.System = programs{}

const fleetName = "soak"

// newPrograms builds the programs.
func newPrograms(t *testing.T) programs {
	t.Helper()
	if err := buildPrograms(); err != nil {
		t.Fatal(err)
	}
	return programs{rpc.NewClient(fleetName, &rpc.TCP{}), &atomic.Uint64{}}
}

// Speech is the chat protocol's, whose routers name requests; the client's tag is a header of its own.
func (programs) Speech() soak.Speech {
	return soak.Speech{
		Host: "a.example", TagHeader: "X-Tag", IDHeader: "X-Request-Id", StampHeader: "X-Stamp", StreamEnd: "data: [DONE]",
		Lines: func(_ soak.Kind, deadline time.Duration) []string {
			return []string{"Authorization: Bearer none", "X-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10)}
		},
		Serve: func(mux *http.ServeMux, r *soak.Replica) {
			var number atomic.Uint64
			mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(router.Report{Run: "run", Number: number.Add(1), Warm: true}) // a caller that left has its own error
			})
		},
	}
}

// Prepare writes a settings file for each program.
func (programs) Prepare(m soak.Machine, f *soak.Fleet) (commands []soak.Command, err error) {
	var seeds []string
	for _, seed := range m.Seeds {
		if seed != m.Control() {
			seeds = append(seeds, seed)
		}
	}
	common := func(address string) map[string]any {
		return map[string]any{"zone": m.Zone, "fleet": fleetName, "address": address, "seeds": strings.Join(seeds, ",")}
	}
	all := map[string]map[string]any{}
	order := []string{"agent", "proxy"}
	if m.IsCore {
		order = []string{"core"}
		all["core"] = common(m.Control())
		all["core"]["data"] = m.Data()
	} else {
		all["agent"], all["proxy"] = common(m.Internal(0)), common(m.Front())
		all["agent"]["local"], all["proxy"]["agent"] = m.Internal(1), m.Internal(1)
		all["proxy"]["admin"], all["proxy"]["grace_ms"] = m.Internal(2), (f.Size.Grace - f.Size.Grace/8).Milliseconds()
		delete(all["proxy"], "seeds")
	}
	for _, program := range order {
		settings := all[program]
		settings["name"] = m.Name + "-" + program
		file := filepath.Join(m.Folder, program+".json")
		if err := soak.WriteSettings(file, settings); err != nil {
			return nil, err
		}
		commands = append(commands, soak.Command{Name: m.Name + "/" + program, Path: filepath.Join(buildFolder, program), Args: []string{"-settings", file}, Settings: file})
	}
	return commands, nil
}

// ReadyURL is the proxy's own.
func (programs) ReadyURL(m soak.Machine) string { return "http://" + m.Internal(2) + "/ready" }

// List tells a core of the replicas, again and again.
func (p programs) List(ctx context.Context, f *soak.Fleet) {
	const interval = 300 * time.Millisecond
	for ; ctx.Err() == nil; _ = rpc.Sleep(ctx, interval) { // the loop ends with the context
		var replicas []config.Replica
		for _, r := range f.ListedReplicas() {
			state := config.ReplicaPresent
			if r.Draining() {
				state = config.ReplicaDraining
			}
			replicas = append(replicas, config.Replica{Name: r.Name, Address: r.Address, Pool: "back", Zone: "zone-1", State: state, Limit: 64})
		}
		raw, _ := json.Marshal(map[string]any{"replicas": replicas}) // plain structs always encode
		core := f.Cores()[int(p.listed.Add(1))%len(f.Cores())]
		short, cancel := context.WithTimeout(ctx, time.Second)
		_, _ = rpc.Call[controlplane.Accepted](short, p.rpc, core.Control(), "/op/replicas", controlplane.ReplicasChange{Text: raw}) // another core is told next
		cancel()
	}
}

// marker is the tenant whose backlog is the number of the newest change.
const marker = "marker"

// programsConfig is the text of a change.
func programsConfig(c soak.Change) string {
	parts := []string{fmt.Sprintf(`"tenants":[{"name":%q,"backlog":%d}]`, marker, c.Number)}
	more := 0
	switch c.Kind {
	case soak.FirstChange:
		parts = append(parts, `"pools":[{"name":"back","kind":"web"}]`, `"paths":[
			{"name":"again","address":"/again/","pool":"back","public":true,"repeatable":true,"deadline_ms":60000},
			{"name":"once","address":"/once/","pool":"back","public":true,"deadline_ms":60000},
			{"name":"stream","address":"/stream/","pool":"back","public":true,"deadline_ms":60000}]`)
	case soak.RouteChange:
		more = 3
	case soak.LargeChange:
		more = 400
	case soak.TenantChange:
		parts[0] = strings.TrimSuffix(parts[0], "]") + fmt.Sprintf(`,{"name":"t-%d"}]`, c.Number)
	case soak.InvalidChange:
		parts = append(parts, `"paths":[{"name":"broken","address":"/broken/","pool":"none"}]`)
	}
	var paths []string
	for n := range more {
		paths = append(paths, fmt.Sprintf(`{"name":"r-%d-%d","address":"/r-%d-%d/","pool":"back","public":true}`, c.Number, n, c.Number, n))
	}
	if more > 0 {
		parts = append(parts, `"paths":[`+strings.Join(paths, ",")+"]")
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Submit sends a partial configuration.
func (p programs) Submit(ctx context.Context, core soak.Machine, c soak.Change) soak.Verdict {
	_, err := rpc.Call[controlplane.Accepted](ctx, p.rpc, core.Control(), "/op/"+config.Key, controlplane.ConfigChange{Text: []byte(programsConfig(c)), Partial: true})
	switch {
	case err == nil:
		return soak.Accepted
	case apierror.Of(err).Code.Number/100 == 1:
		return soak.Rejected
	}
	return soak.Unclear
}

// Read asks for the marker.
func (p programs) Read(ctx context.Context, core soak.Machine) (int, error) {
	response, err := rpc.Call[controlplane.QueryResponse](ctx, p.rpc, core.Control(), "/query", controlplane.Query{Kind: "tenants"})
	if err != nil {
		return 0, err
	}
	for _, row := range response.Rows {
		if row["name"] == marker {
			return int(row["backlog"].(float64)), nil
		}
	}
	return 0, fmt.Errorf("no tenant %s", marker)
}

// Every process goes through every phase of its life under every signal.
func TestSignalsInEveryPhase(t *testing.T) { soak.PlayPhases(t, newPrograms(t)) }

// Contract is that a query shows what the core that is asked knows, and that operators change the members.
func (programs) Contract() soak.Contract { return soak.Contract{ConfigApply: 5 * time.Second} }

var soakFlags = soak.AddFlags()

// The product's own programs are soaked: processes are stopped, told, frozen and killed and the configuration changes while clients use them.
func TestSoak(t *testing.T) { soakFlags.PlaySeeds(t, newPrograms(t)) }
