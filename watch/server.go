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
	// maxTombstones bounds the number of tombstones. A client that has not received a tombstone that was dropped gets a snapshot.
	maxTombstones = 4096
	// deferDelay is how long deferred updates are batched.
	deferDelay = 300 * time.Millisecond
	// maxWait bounds how long a request is held open, whatever wait it asks for.
	maxWait = time.Second
	// treeDegree is the degree of the B-trees that are ordered by offset.
	treeDegree = 32
)

// ServerOptions configures a server; both functions may be nil.
type ServerOptions struct {
	// Incarnation returns the identity that is sent with each response; empty if clients must not count the response as fresh.
	Incarnation func() string
	// ValidFor returns for how much longer clients may act on the published state.
	ValidFor func() time.Duration
}

// Server publishes the newest value of each field, ordered by offset. Its memory grows with its state, not with the number of changes.
type Server struct {
	options ServerOptions
	runID   string

	mu sync.Mutex // guards the fields below
	// offset is the offset of the newest change; it never decreases.
	offset uint64
	// wakeOffset is the offset of the newest change that is sent at once; all later changes are deferred.
	wakeOffset uint64
	// deferredPending is set while there are deferred changes above wakeOffset and a timer that will wake requests for them.
	deferredPending bool
	// compactedOffset is the offset of the newest tombstone that was dropped.
	compactedOffset uint64
	// positions holds the newest change of every key and field, ordered by offset; tombstones is its subset of deleted fields.
	positions  *btree.BTreeG[position]
	tombstones *btree.BTreeG[position]
	keys       map[string]*publishedKey
	// updated is closed and replaced to wake the waiting requests.
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
	changedAt time.Time // zero if the age is not published
}

// position locates the newest change of a key (field is empty) or of one of its fields.
type position struct {
	offset     uint64
	key, field string
}

func before(a, b position) bool { return a.offset < b.offset }

// ClientState describes a client as of its last request.
type ClientState struct {
	Name string `json:"name"`
	Role string `json:"role"`
	// AcknowledgedOffset is the offset up to which the client has all changes; zero if it needs a snapshot.
	AcknowledgedOffset uint64 `json:"acked"`
	// Lag is the distance from AcknowledgedOffset to the server's offset.
	Lag     uint64                       `json:"behind"`
	AgeMs   int64                        `json:"age_ms"`
	Applied map[string]register.Revision `json:"applied,omitempty"`
	Status  json.RawMessage              `json:"status,omitempty"`

	lastRequest time.Time
}

// NewServer returns a server without keys.
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

// Publish applies a change to a key and wakes the waiting requests. A full change also deletes the fields that are missing from it. Keys
// that are not registers have zero revisions.
func (s *Server) Publish(key string, revision, committed register.Revision, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(key, revision, committed, change, full, time.Now())
	s.wake()
}

// PublishHint is Publish for a hint: a key that is not a register and has no revision.
func (s *Server) PublishHint(key string, change register.Fields, full bool) {
	s.Publish(key, register.Revision{}, register.Revision{}, change, full)
}

// PublishDeferred is PublishHint for hints that may be delayed by deferDelay to batch them; any change that wakes the requests also sends
// them. The ages of their fields are not published.
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

// wake wakes the waiting requests. The caller holds s.mu.
func (s *Server) wake() {
	s.wakeOffset, s.deferredPending = s.offset, false
	close(s.updated)
	s.updated = make(chan struct{})
}

// publish applies a change without waking requests. at is zero if the age of the fields is not to be published. The caller holds s.mu.
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

// replacement returns the change that sets the given fields and deletes all others of the key.
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

// setField changes one field. An equal value is no change for a register, but it is for a hint, because it restarts the field's age. The
// caller holds s.mu.
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

// compactTombstone drops the oldest tombstone. The caller holds s.mu.
func (s *Server) compactTombstone() {
	oldest, _ := s.tombstones.DeleteMin()
	delete(s.keys[oldest.key].fields, oldest.field)
	s.positions.Delete(oldest)
	s.compactedOffset = oldest.offset
}

// Watch answers a request: at once if there are changes after its offset, else when there are, or after its wait. A client whose offset is
// from another run of the server or older than the compacted offset gets a snapshot.
func (s *Server) Watch(ctx context.Context, request Request) (Response, error) {
	resumable, updated := s.register(request)
	if updated != nil {
		waitFor(ctx, updated, time.Duration(request.WaitMs)*time.Millisecond)
	}
	var validFor time.Duration
	if s.options.ValidFor != nil {
		validFor = s.options.ValidFor() // read before the state is, so that the response has all state that ValidFor covers
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

// register records the client of a request. updated is the channel that the request has to wait for; nil if it is answered at once.
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

// waitFor blocks until an update, the end of the context or the end of the wait, which is limited to maxWait.
func waitFor(ctx context.Context, updated <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// changesAfter returns the changes after an offset, grouped by key. The caller holds s.mu.
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

// ClientStates returns the clients whose last request came within the given time, and removes all others from the server.
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
