package watch

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/google/btree"

	"asterridge/register"
)

const (
	// maxTombstones bounds the deleted fields that are remembered. A client that is behind the oldest one gets a snapshot.
	maxTombstones = 4096
	// deferDelay is how long deferred updates wait for others.
	deferDelay = 300 * time.Millisecond
	// maxWait is the most that a request is held open, whatever it asks for.
	maxWait = time.Second
	// treeDegree is that of the B-trees of offsets.
	treeDegree = 32
)

// ServerOptions of a server; both functions may be nil.
type ServerOptions struct {
	// Incarnation identifies whose state this is, in each response; empty if its answers are not to count.
	Incarnation func() string
	// ValidFor is how much longer the published state may be acted upon.
	ValidFor func() time.Duration
}

// Server publishes the newest value of each field by offset. Its memory is bounded by its state, not by its history.
type Server struct {
	options ServerOptions
	runID   string

	mu sync.Mutex // guards what follows
	// offset is that of the newest change; it only rises.
	offset uint64
	// wakeOffset is the offset beyond which there is nothing that a waiting request would be answered for at once.
	wakeOffset uint64
	// deferredPending: there are changes above wakeOffset, and a timer that will wake requests for them.
	deferredPending bool
	// compactedOffset is that of the newest tombstone that was dropped.
	compactedOffset uint64
	// positions has the newest change of every key and field, tombstones the deleted fields among them, by offset.
	positions  *btree.BTreeG[position]
	tombstones *btree.BTreeG[position]
	keys       map[string]*publishedKey
	// updated is closed, and replaced, when waiting requests are to be answered.
	updated chan struct{}
	clients map[string]ClientState
}

// publishedKey is the state of one key.
type publishedKey struct {
	revision, committed register.Revision
	offset              uint64 // of the newest change of revision or committed
	fields              map[string]fieldState
}

// fieldState is the state of one field; a nil value is a tombstone.
type fieldState struct {
	value     json.RawMessage
	offset    uint64
	changedAt time.Time // zero: not told
}

// position is the newest change of a key (with an empty field) or of a field.
type position struct {
	offset     uint64
	key, field string
}

func before(a, b position) bool { return a.offset < b.offset }

// ClientState is what a server knows of a client from its last request.
type ClientState struct {
	Name string `json:"name"`
	Role string `json:"role"`
	// AcknowledgedOffset is up to where the client has everything; zero if it needs a snapshot.
	AcknowledgedOffset uint64 `json:"acked"`
	// Lag is how many changes it has yet to get.
	Lag     uint64                       `json:"behind"`
	AgeMs   int64                        `json:"age_ms"`
	Applied map[string]register.Revision `json:"applied,omitempty"`
	Status  json.RawMessage              `json:"status,omitempty"`

	lastRequest time.Time
}

// NewServer makes an empty server.
func NewServer(options ServerOptions) *Server {
	return &Server{
		options:    options,
		runID:      rand.Text(),
		positions:  btree.NewG(treeDegree, before),
		tombstones: btree.NewG(treeDegree, before),
		keys:       map[string]*publishedKey{},
		updated:    make(chan struct{}),
		clients:    map[string]ClientState{},
	}
}

// RunID identifies this run of the server.
func (s *Server) RunID() string { return s.runID }

// Publish takes a change of a key and answers waiting requests. A full change also deletes fields that it does not have. Keys that are no
// registers have zero revisions.
func (s *Server) Publish(key string, revision, committed register.Revision, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(key, revision, committed, change, full, time.Now())
	s.wake()
}

// PublishHint is Publish for fields of a key that is no register and so has no revision.
func (s *Server) PublishHint(key string, change register.Fields, full bool) {
	s.Publish(key, register.Revision{}, register.Revision{}, change, full)
}

// PublishDeferred is PublishHint for hints which may wait deferDelay for others, and go along with what cannot wait. Their ages are not told.
func (s *Server) PublishDeferred(key string, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(key, register.Revision{}, register.Revision{}, change, full, time.Time{})
	if s.deferredPending {
		return
	}
	s.deferredPending = true
	time.AfterFunc(deferDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.deferredPending {
			s.wake()
		}
	})
}

// wake answers the requests that wait; s.mu is held.
func (s *Server) wake() {
	s.wakeOffset, s.deferredPending = s.offset, false
	close(s.updated)
	s.updated = make(chan struct{})
}

// publish takes a change without waking anybody; s.mu is held. at is zero if the age of the fields is not to be told.
func (s *Server) publish(key string, revision, committed register.Revision, change register.Fields, full bool, at time.Time) {
	k := s.keys[key]
	if k == nil {
		k = &publishedKey{fields: map[string]fieldState{}}
		s.keys[key] = k
	}
	if full {
		change = k.replacement(change)
	}
	for field, value := range change {
		s.setField(key, k, field, value, at)
	}
	k.revision, k.committed = revision, committed
	s.offset++
	s.positions.Delete(position{offset: k.offset})
	k.offset = s.offset
	s.positions.ReplaceOrInsert(position{offset: s.offset, key: key})
	for s.tombstones.Len() > maxTombstones {
		s.compactTombstone()
	}
}

// replacement is the change that makes these fields all that the key has.
func (k *publishedKey) replacement(fields register.Fields) register.Fields {
	change := register.Fields{}
	for field, state := range k.fields {
		if state.value != nil {
			change[field] = nil
		}
	}
	maps.Copy(change, fields)
	return change
}

// setField changes one field; s.mu is held. Of a register, a value that stands already is no change; of a hint it is: its age counts anew.
func (s *Server) setField(key string, k *publishedKey, field string, value json.RawMessage, changedAt time.Time) {
	old, exists := k.fields[field]
	if register.IsDeleted(value) {
		value = nil
		if !exists || old.value == nil {
			return
		}
	} else if exists && old.value == nil {
		s.tombstones.Delete(position{offset: old.offset})
	} else if exists && string(old.value) == string(value) && k.revision != (register.Revision{}) {
		return
	}
	if exists {
		s.positions.Delete(position{offset: old.offset})
	}
	s.offset++
	k.fields[field] = fieldState{value: value, offset: s.offset, changedAt: changedAt}
	newest := position{offset: s.offset, key: key, field: field}
	s.positions.ReplaceOrInsert(newest)
	if value == nil {
		s.tombstones.ReplaceOrInsert(newest)
	}
}

// compactTombstone forgets the oldest deleted field; s.mu is held.
func (s *Server) compactTombstone() {
	oldest, _ := s.tombstones.DeleteMin()
	delete(s.keys[oldest.key].fields, oldest.field)
	s.positions.Delete(oldest)
	s.compactedOffset = oldest.offset
}

// Watch answers a request: at once if there are changes after its offset, else after its wait. A client from another run of the server, or
// behind the compacted offset, gets a snapshot.
func (s *Server) Watch(ctx context.Context, request Request) (Response, error) {
	resumable, updated := s.register(request)
	if updated != nil {
		waitFor(ctx, updated, time.Duration(request.WaitMs)*time.Millisecond)
	}
	var validFor time.Duration
	if s.options.ValidFor != nil {
		validFor = s.options.ValidFor() // before the cut: what is vouched for is in it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after := request.After
	resumable = resumable && after >= s.compactedOffset
	if !resumable {
		after = 0
	}
	response := Response{
		RunID: s.runID, Offset: s.offset, Snapshot: !resumable, Updates: s.changesAfter(after), ValidForMs: validFor.Milliseconds(),
	}
	if s.options.Incarnation != nil {
		response.Incarnation = s.options.Incarnation()
	}
	return response, nil
}

// register notes the client of a request. updated is what the request has to wait for; nil if it is to be answered at once.
func (s *Server) register(request Request) (resumable bool, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumable = request.RunID == s.runID && request.After >= s.compactedOffset && request.After <= s.offset
	state := ClientState{Name: request.Name, Role: request.Role, Applied: request.Applied, Status: request.Status, lastRequest: time.Now()}
	if resumable {
		state.AcknowledgedOffset = request.After
	}
	s.clients[request.Name] = state
	if resumable && request.After >= s.wakeOffset && request.WaitMs > 0 {
		updated = s.updated
	}
	return resumable, updated
}

// waitFor waits for an update, the context's end, or the wait, maxWait at most.
func waitFor(ctx context.Context, updated <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// changesAfter gives the changes after an offset, by key; s.mu is held.
func (s *Server) changesAfter(after uint64) (updates []KeyUpdate) {
	now, index := time.Now(), map[string]int{}
	s.positions.AscendGreaterOrEqual(position{offset: after + 1}, func(p position) bool {
		k := s.keys[p.key]
		i, exists := index[p.key]
		if !exists {
			i = len(updates)
			index[p.key] = i
			updates = append(updates, KeyUpdate{Key: p.key, Revision: k.revision, Committed: k.committed, Fields: register.Fields{}})
		}
		if p.field == "" {
			return true
		}
		update, state := &updates[i], k.fields[p.field]
		update.Fields[p.field] = state.value
		if k.revision == (register.Revision{}) && !state.changedAt.IsZero() {
			if update.AgesMs == nil {
				update.AgesMs = map[string]int64{}
			}
			update.AgesMs[p.field] = now.Sub(state.changedAt).Milliseconds()
		}
		return true
	})
	return updates
}

// ClientStates lists the clients whose last request came within a time; others are forgotten.
func (s *Server) ClientStates(within time.Duration) (states []ClientState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range s.clients {
		age := time.Since(state.lastRequest)
		if age > within {
			delete(s.clients, name)
			continue
		}
		state.AgeMs, state.Lag = age.Milliseconds(), s.offset-state.AcknowledgedOffset
		states = append(states, state)
	}
	return states
}
