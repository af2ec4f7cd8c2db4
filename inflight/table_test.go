package inflight

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Two proxies that do not see one another: the second is led away from where the first has just been placed, and back once that has ended.
func TestAssignCountsWhatOthersHaveInFlight(t *testing.T) {
	is := is.New(t)
	var table Table
	candidates := []Candidate{{Replica: "a", WorkMs: 100, Slots: 8}, {Replica: "b", CostMs: 20, WorkMs: 100, Slots: 8}}
	assign := func(proxy string, number uint64, loads map[string]Load) string {
		return table.Assign(Request{Proxy: proxy, Run: "1", Number: number, Loads: loads, Candidates: candidates}).Replica
	}
	is.Equal(assign("p", 1, nil), "a")
	is.Equal(assign("q", 1, nil), "b")                                                // 100 ms wait at a
	is.Equal(assign("p", 2, nil), "a")                                                // its first request has ended
	is.Equal(assign("p", 3, map[string]Load{"a": {Running: 1, PrefillMs: 500}}), "a") // its own requests are part of the cost that it tells
}

// A replica whose slots are taken is chosen only if all are.
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

// A message that was overtaken by a later one changes nothing; a new run of the proxy begins anew; what a silent proxy told counts no more.
func TestLoadsOfOldMessagesRunsAndSilentProxies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var table Table
		at := func() int64 { return table.total("a", time.Now()).PrefillMs }
		report := func(run string, number uint64, ms int64) {
			table.Assign(Request{Proxy: "p", Run: run, Number: number, Loads: map[string]Load{"a": {Running: 1, PrefillMs: ms}}})
		}
		report("1", 2, 200)
		report("1", 1, 100)
		is.Equal(at(), int64(200))
		report("2", 1, 50)
		is.Equal(at(), int64(50))
		time.Sleep(retention + time.Millisecond)
		is.Equal(at(), int64(0))
	})
}
