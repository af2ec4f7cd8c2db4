package router

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/rpc"
)

// Fetching a prefix is chosen while it was measured to be quicker than reading anew, tried where nothing was measured, and left where it loses.
func TestPrefixSourceFollowsMeasuredFetchRates(t *testing.T) {
	is := is.New(t)
	r := New(Options{Name: "p", Net: &rpc.TCP{}, Log: zerolog.Nop()})
	text := make([]byte, 40*prefixindex.FineSize)
	x := &Exchange{Prompt: Prompt{Text: string(text)}}
	made := func(name string, fetch map[string]float64) *replica {
		rep := &replica{Replica: config.Replica{Name: name, Address: name + ":1", State: "present", Limit: 4}, load: newLoad()}
		rep.report.Store(&report{Report: Report{Weights: "w", Warm: true, Rate: 100, Fetch: fetch}})
		return rep
	}
	peer, store := made("peer", nil), made("store", nil)
	v := &View{stores: []*replica{store}}
	cached := map[string]int{"peer": 20 * prefixindex.FineSize, "store": 40 * prefixindex.FineSize} // in bytes, as the index counts now
	for _, c := range []struct {
		name   string
		fetch  map[string]float64
		kept   map[string]int
		source string
	}{
		{"nothing measured: the one that keeps most is tried", nil, cached, "store:1"},
		{"the store is slow: the peer's half", map[string]float64{"store": 30, "peer": 900}, cached, "peer:1"},
		{"all links are slow: read anew", map[string]float64{"store": 30, "peer": 30}, cached, ""},
		{"the store came back empty", map[string]float64{"store": 900, "peer": 900}, map[string]int{"peer": 20 * prefixindex.FineSize}, "peer:1"},
		{"no news of anybody", nil, nil, ""},
		{"it keeps as much itself", nil, map[string]int{"own": 40 * prefixindex.FineSize, "store": 40 * prefixindex.FineSize}, ""},
	} {
		own := made("own", c.fetch)
		p := &pool{replicas: []*replica{own, peer}}
		ms, source := r.estimatePrefill(x, v, p, own, &cacheState{cached: c.kept, holders: v.holders(p, c.kept)})
		is.Equal(c.name+" "+source, c.name+" "+c.source)
		is.True(ms <= float64(len(text))/100) // never dearer than reading anew
	}
}

// The fixed shares of a replica's slots add up to its limit, however many proxies there are.
func TestSharesAddUpToTheLimit(t *testing.T) {
	is := is.New(t)
	names := []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9", "p10", "p11"}
	for count := 1; count <= len(names); count++ {
		for limit := 1; limit <= 24; limit++ {
			sum := 0
			for _, own := range names[:count] {
				sum += share(limit, names[:count], own, "r")
			}
			is.Equal(sum, limit)
		}
	}
}
