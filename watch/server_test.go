package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/register"
)

func TestServerSendsChangesAfterOffsetAndSnapshots(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerOptions{})
	revision := register.Revision{Epoch: 1, Version: 1}
	s.Publish("k", revision, revision, register.Fields{"a": []byte(`1`), "b": []byte(`2`)}, true)
	first, err := s.Watch(t.Context(), Request{Name: "f"})
	is.NoErr(err)
	is.True(first.Snapshot)
	is.Equal(len(first.Updates[0].Fields), 2)
	next := register.Revision{Epoch: 1, Version: 2}
	s.Publish("k", next, next, register.Fields{"a": nil}, false)
	second, err := s.Watch(t.Context(), Request{Name: "f", RunID: first.RunID, After: first.Offset})
	is.NoErr(err)
	is.True(!second.Snapshot)
	is.Equal(len(second.Updates), 1)
	is.Equal(second.Updates[0].Revision, next)
	is.Equal(len(second.Updates[0].Fields), 1) // b did not change
	is.True(register.IsDeleted(second.Updates[0].Fields["a"]))
}

// Guards against a server that queues changes for a slow client: missed changes must be merged, and a client whose offset is older than the
// newest dropped tombstone must get a snapshot.
func TestSlowClientGetsMergedChangesOrSnapshot(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerOptions{})
	put := func(version uint64, fields register.Fields) {
		revision := register.Revision{Epoch: 1, Version: version}
		s.Publish("k", revision, revision, fields, false)
	}
	put(1, register.Fields{"hot": []byte(`0`), "cold": []byte(`0`)})
	first, err := s.Watch(t.Context(), Request{Name: "f"})
	is.NoErr(err)
	for n := uint64(2); n < 5000; n++ {
		put(n, register.Fields{"hot": fmt.Appendf(nil, "%d", n)})
	}
	merged, err := s.Watch(t.Context(), Request{Name: "f", RunID: first.RunID, After: first.Offset})
	is.NoErr(err)
	is.True(!merged.Snapshot)
	is.Equal(len(merged.Updates), 1)
	is.Equal(string(merged.Updates[0].Fields["hot"]), "4999")
	is.Equal(len(merged.Updates[0].Fields), 1)
	is.True(s.positions.Len() <= 3) // one position for the key and one for each field
	for n := uint64(0); n < maxTombstones+100; n++ {
		put(5000+2*n, register.Fields{fmt.Sprint(n): []byte(`1`)})
		put(5001+2*n, register.Fields{fmt.Sprint(n): nil})
	}
	late, err := s.Watch(t.Context(), Request{Name: "f", RunID: first.RunID, After: merged.Offset})
	is.NoErr(err)
	is.True(late.Snapshot) // tombstones that it has not received were dropped
	is.True(s.positions.Len() <= maxTombstones+3)
	other, err := s.Watch(t.Context(), Request{Name: "f", RunID: "another run", After: late.Offset})
	is.NoErr(err)
	is.True(other.Snapshot)
	is.Equal(s.ClientStates(time.Minute)[0].Lag, other.Offset)
}
