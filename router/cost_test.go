package router

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/rpc"
)

// A prefix is fetched if the measured rate makes that faster than computing it. A source without a measured rate is tried, and a slow one is
// not used.
func TestPrefixSourceFollowsMeasuredFetchRates(t *testing.T) {
	is := is.New(t)
	r := New(Options{Name: "p", Net: &rpc.TCP{}, Log: zerolog.Nop()})
	text := make([]byte, 40*prefixindex.FineSize)
	x := &Exchange{Prompt: Prompt{Text: string(text)}}
	newTestReplica := func(name string, fetch map[string]float64) *replica {
		rep := &replica{Replica: config.Replica{Name: name, Address: name + ":1", State: "present", Limit: 4}, load: newLoad()}
		rep.report.Store(&report{Report: Report{Weights: "w", Warm: true, Rate: 100, Fetch: fetch}})
		return rep
	}
	peer, store := newTestReplica("peer", nil), newTestReplica("store", nil)
	v := &View{stores: []*replica{store}}
	cached := map[string]int{"peer": 20 * prefixindex.FineSize, "store": 40 * prefixindex.FineSize} // in bytes
	for _, c := range []struct {
		name   string
		fetch  map[string]float64
		cached map[string]int
		source string
	}{
		{"no measured rates: the source with the largest prefix is tried", nil, cached, "store:1"},
		{"the store is slow: the peer, which has half", map[string]float64{"store": 30, "peer": 900}, cached, "peer:1"},
		{"all links are slow: computed", map[string]float64{"store": 30, "peer": 30}, cached, ""},
		{"the store lost its cache", map[string]float64{"store": 900, "peer": 900}, map[string]int{"peer": 20 * prefixindex.FineSize}, "peer:1"},
		{"no cached prefix known", nil, nil, ""},
		{"the replica has as much itself", nil, map[string]int{"own": 40 * prefixindex.FineSize, "store": 40 * prefixindex.FineSize}, ""},
	} {
		own := newTestReplica("own", c.fetch)
		p := &pool{replicas: []*replica{own, peer}}
		ms, source := r.estimatePrefill(x, v, p, own, &cacheState{cached: c.cached, holders: v.holders(p, c.cached)})
		is.Equal(c.name+" "+source, c.name+" "+c.source)
		is.True(ms <= float64(len(text))/100) // never slower than computing the whole prompt
	}
}

// The routers' shares of a replica's slots add up to its limit, for any number of proxies.
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
