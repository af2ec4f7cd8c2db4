package inflight

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Two proxies do not see each other's requests. The second is assigned another replica than the first, and the first replica is assigned again
// once the request there has ended.
func TestAssignCountsWhatOthersHaveInFlight(t *testing.T) {
	is := is.New(t)
	var table Table
	candidates := []Candidate{{Replica: "a", WorkMs: 100, Slots: 8}, {Replica: "b", CostMs: 20, WorkMs: 100, Slots: 8}}
	assign := func(proxy string, number uint64, loads map[string]Load) string {
		return table.Assign(Request{Proxy: proxy, Run: "1", Number: number, Loads: loads, Candidates: candidates}).Replica
	}
	is.Equal(assign("p", 1, nil), "a")
	is.Equal(assign("q", 1, nil), "b")                                                // a has 100 ms of prefill in flight
	is.Equal(assign("p", 2, nil), "a")                                                // its first request has ended
	is.Equal(assign("p", 3, map[string]Load{"a": {Running: 1, PrefillMs: 500}}), "a") // its own requests are already part of the cost that it reports
}

// A replica whose slots are all taken is assigned only if no candidate has a free slot.
func TestAssignAvoidsFullReplicas(t *testing.T) {
	is := is.New(t)
	var table Table
	table.Assign(Request{Proxy: "p", Run: "1", Number: 1, Loads: map[string]Load{"a": {Running: 2}}})
	request := Request{Proxy: "q", Run: "1", Number: 1, Candidates: []Candidate{{Replica: "a", Slots: 2}, {Replica: "b", CostMs: 900, Slots: 2}}}
	is.Equal(table.Assign(request).Replica, "b")
	request.Candidates = request.Candidates[:1]
	is.Equal(table.Assign(request).Replica, "a")
	request.Candidates = nil
	is.Equal(table.Assign(request).Replica, "")
}

// A message that arrives after a later one changes nothing, a new run of a proxy replaces the loads of the earlier run, and the loads of a proxy
// that has sent nothing for longer than retention no longer count.
func TestLoadsOfOldMessagesEarlierRunsAndExpiredProxiesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var table Table
		prefillMs := func() int64 { return table.total("a", time.Now()).PrefillMs }
		report := func(run string, number uint64, ms int64) {
			table.Assign(Request{Proxy: "p", Run: run, Number: number, Loads: map[string]Load{"a": {Running: 1, PrefillMs: ms}}})
		}
		report("1", 2, 200)
		report("1", 1, 100)
		is.Equal(prefillMs(), int64(200))
		report("2", 1, 50)
		is.Equal(prefillMs(), int64(50))
		time.Sleep(retention + time.Millisecond)
		is.Equal(prefillMs(), int64(0))
	})
}
