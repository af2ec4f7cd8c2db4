package sim

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/golden"
	"asterridge/register"
	"asterridge/throttle"
	"asterridge/watch"
)

// storedFolder has the disks of cores as a build before this one wrote them: one folder for each recorded day, one file for each core in it.
const storedFolder = "testdata/stored"

var recordsDisks = flag.Bool("record-disks", false, "write the recorded disks anew, by the present build")

// recordDisks writes the cores' disks to files, as they are now: the sealed files of each folder.
func recordDisks(t *testing.T, f *Fleet, day string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.MkdirAll(filepath.Join(storedFolder, day), 0o755))
	for i, d := range f.Disks {
		texts := map[string]map[string]string{}
		d.mu.Lock()
		for folder, files := range d.folders {
			texts[folder] = map[string]string{}
			for name, sealed := range files {
				texts[folder][name] = string(sealed)
			}
		}
		d.mu.Unlock()
		raw, err := json.MarshalIndent(texts, "", " ")
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(storedFolder, day, fmt.Sprintf("core-%d.json", i+1)), raw, 0o644))
	}
}

// recordedDisks reads the disks of a recorded day, the first core's first.
func recordedDisks(t *testing.T, day string) (disks []*Disk) {
	t.Helper()
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(storedFolder, day, "core-*.json"))
	is.NoErr(err)
	is.True(len(files) >= 3) // a majority of the recorded members
	slices.Sort(files)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		var texts map[string]map[string]string
		is.NoErr(json.Unmarshal(raw, &texts))
		d := NewDisk()
		for folder, files := range texts {
			d.folders[folder] = map[string][]byte{}
			for name, sealed := range files {
				d.folders[folder][name] = []byte(sealed)
			}
		}
		disks = append(disks, d)
	}
	return disks
}

// recordAdapterDay plays a day with changed members, keys, a hold, claims, a long configuration and a retirement.
func recordAdapterDay(t *testing.T) {
	inAdapterBubble(t, 9100, 600, func(_ *is.I, f *Fleet) {
		for i := range 70 { // more changes than a snapshot is followed by
			must(f.merge(fmt.Sprintf(`{"tenants":[{"name":"a","backlog":%d}]}`, 400+i)))
		}
		must(f.Order(0, "keys", controlplane.AccessKeyChange{Tenant: "c", Hash: config.HashKey("c-old")}))
		must(f.Order(0, "keys", controlplane.AccessKeyChange{Tenant: "c", Hash: config.HashKey("c-old"), Revoked: true}))
		f.StartCore(4)
		f.members("admit", "core-5")
		f.members("retire", "core-4")
		must(f.retirement(retire("ridge-1", "ridge-2")))
		f.untilPhase(60*time.Second, "ridge-1", "retired")
	}, func(is *is.I, f *Fleet, _ []fake.Exchange) {
		for i := range 6 {
			status, _, _ := f.Ask(i%3, "b", fmt.Sprintf("claim-%d", i), chat("light"))
			is.Equal(status, 200)
		}
		must(f.Order(0, "hold", throttle.Notice{Scope: "a", ID: "recorded", RemainingMs: 20000, Reason: "throttle", Attempt: 1}))
		time.Sleep(time.Second)
		recordDisks(t, f, "adapters")
	})
}

// recordNumberedDay plays a day with numbered configurations, a named version that is loaded, and leases.
func recordNumberedDay(t *testing.T) {
	b := newBackends()
	b.add("pool", 6, "m")
	rollout(t, 9200, b, pools(1, oneModel, config.Pool{Name: "web", Kind: "web"}), func(_ *is.I, f *Fleet, _ *watch.Client) {
		f.declare(0, numbered(2, 1, false, "two"))
		f.declare(1, numbered(3, 2, false, "three"))
		f.nameVersion(1, "m", 2)
		f.Until(60*time.Second, "all have loaded", func() bool { return b.has("m", 2) })
		time.Sleep(5 * time.Second)
		recordDisks(t, f, "numbered")
	})
}

// Every key that an earlier build stored is read with its revision and its content. A changed file name, tag or constant on disk fails this.
func TestStoredDataOfAnEarlierBuildIsRead(t *testing.T) {
	if *recordsDisks {
		recordAdapterDay(t)
		recordNumberedDay(t)
	}
	for _, day := range []string{"adapters", "numbered"} {
		t.Run(day, func(t *testing.T) {
			is := is.New(t)
			var text strings.Builder
			for i, d := range recordedDisks(t, day) {
				acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: d.Open(),
					OnChange: func(string, register.Record, register.Fields, bool) {},
					OnSkipped: func(folder, file string, err error) {
						t.Errorf("core %d: %s/%s is left out: %v", i+1, folder, file, err)
					}})
				is.NoErr(err)
				for _, key := range acceptor.Keys() {
					record := acceptor.Read(key)
					fmt.Fprintf(&text, "core %d, %s: promised %d, revision %v, settled %v\n", i+1, key, record.Promised, record.Revision, record.Committed)
					for _, field := range slices.Sorted(maps.Keys(record.Fields)) {
						fmt.Fprintf(&text, "\t%s = %s\n", field, record.Fields[field])
					}
				}
			}
			golden.Compare(t, filepath.Join("testdata", "stored_"+day+".txt"), text.String())
		})
	}
}

// Cores that are started on the disks of an earlier build are members with the same list, and answer with the same configuration.
func TestCoresStartOnStoredDataOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	start := func(t *testing.T, day string, play func(is *is.I, f *Fleet, cores []int)) {
		disks := recordedDisks(t, day)
		synctest.Test(t, func(t *testing.T) {
			o := options(9300)
			o.Cores, o.Proxies, o.Replicas = 0, 0, 0
			o.Founders = []string{At(CoreIP(0)), At(CoreIP(1)), At(CoreIP(2))}
			f := NewFleet(o)
			defer f.Stop()
			f.Disks = disks
			f.Options.Cores = len(disks)
			var cores []int
			for i := range disks {
				f.StartCore(i)
				cores = append(cores, i)
			}
			play(is.New(t), f, cores)
		})
	}
	rowsOf := func(is *is.I, f *Fleet, core int, what string) []map[string]any {
		is.Helper()
		a, err := f.Query(core, what)
		is.NoErr(err)
		return rows(a)
	}
	t.Run("adapters", func(t *testing.T) {
		start(t, "adapters", func(is *is.I, f *Fleet, _ []int) {
			f.Until(10*time.Second, "the members agree", func() bool {
				a, err := f.Query(0, "members")
				return err == nil && len(a.Rows) >= 4
			})
			var names []string
			for _, row := range rowsOf(is, f, 0, "members") {
				if row["state"] == "member" {
					names = append(names, fmt.Sprint(row["name"]))
				}
			}
			slices.Sort(names)
			is.Equal(names, []string{"core-1", "core-2", "core-3", "core-5"})
			f.Until(10*time.Second, "the retirement is known", func() bool { return f.phase("ridge-1") == "retired" })
			is.True(f.claims(0)+f.claims(1)+f.claims(2) > 0)
			must(f.Order(0, config.Key, controlplane.ConfigChange{ // a field that this build adds is not taken for a new tenant
				Text: json.RawMessage(`{"tenants":[{"name":"a","backlog":901}]}`), Partial: true, NameCondition: "known"}))
			must(f.merge(`{"tenants":[{"name":"a","backlog":900}]}`)) // and they take changes
		})
	})
	t.Run("numbered", func(t *testing.T) {
		start(t, "numbered", func(is *is.I, f *Fleet, _ []int) {
			f.untilMembership(10*time.Second, "core-1 core-2 core-3")
			number, names, err := f.declared(0)
			is.NoErr(err)
			is.Equal(number, uint64(3))
			is.Equal(names, []string{"two", "three", "pool", "web"})
			f.declare(1, numbered(4, 3, false, "four"))
		})
	})
}
