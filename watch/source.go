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

// Request is a follower's question: what is after number From? It acknowledges all up to From.
type Request struct {
	Name    string                       `json:"name"`
	Role    string                       `json:"role"`
	RunID   string                       `json:"run"`
	After   uint64                       `json:"from"`
	WaitMs  int64                        `json:"wait_ms"`
	Applied map[string]register.Revision `json:"applied,omitempty"` // what the follower acts on
	Status  json.RawMessage              `json:"status,omitempty"`  // a few words for the operators
}

// Response is one consistent cut of a source.
type Response struct {
	RunID       string      `json:"run"`
	Incarnation string      `json:"who,omitempty"` // whose state this is: a core's incarnation while it is a member
	Offset      uint64      `json:"number"`
	Snapshot    bool        `json:"image,omitempty"`
	Updates     []KeyUpdate `json:"entries,omitempty"`
	ValidForMs  int64       `json:"remaining_ms,omitempty"` // how much longer the source vouches for this
}

// KeyUpdate is a key's changed fields.
type KeyUpdate struct {
	Key       string            `json:"key"`
	Revision  register.Revision `json:"stamp"`
	Committed register.Revision `json:"settled"`
	Fields    register.Fields   `json:"fields,omitempty"`
	AgesMs    map[string]int64  `json:"ages_ms,omitempty"` // of fields without a revision
}

const (
	maxTombstones = 4096
	deferDelay    = 300 * time.Millisecond // that hints wait for each other
)

// Server has the newest value of each field by number (§3.1).
type Server struct {
	options         ServerOptions
	runID           string
	mu              sync.Mutex
	offset          uint64
	wakeOffset      uint64                  // asks behind it are answered at once
	deferredPending bool                    // there is more, whose time will come
	compactedOffset uint64                  // tombstones up to here are dropped
	tombstones      *btree.BTreeG[position] // fields that are gone, by number
	keys            map[string]*publishedKey
	order           *btree.BTreeG[position]
	updated         chan struct{}
	clients         map[string]ClientState
}

type publishedKey struct {
	revision, committed register.Revision
	offset              uint64
	fields              map[string]fieldState
}

type fieldState struct {
	value     json.RawMessage
	offset    uint64
	changedAt time.Time
}

type position struct {
	offset     uint64
	key, field string
}

func before(a, b position) bool { return a.offset < b.offset }

// ClientState is what a source knows of a follower.
type ClientState struct {
	Name               string                       `json:"name"`
	Role               string                       `json:"role"`
	AcknowledgedOffset uint64                       `json:"acked"`
	Lag                uint64                       `json:"behind"`
	AgeMs              int64                        `json:"age_ms"`
	Applied            map[string]register.Revision `json:"applied,omitempty"`
	Status             json.RawMessage              `json:"status,omitempty"`
	lastRequest        time.Time
}

// ServerOptions of a source; both may be nil.
type ServerOptions struct {
	Incarnation func() string
	ValidFor    func() time.Duration // how much longer what is here is vouched for
}

// NewServer makes an empty source.
func NewServer(options ServerOptions) *Server {
	return &Server{
		options: options, runID: rand.Text(), keys: map[string]*publishedKey{}, updated: make(chan struct{}),
		order:      btree.NewG(32, before),
		tombstones: btree.NewG(32, before),
		clients:    map[string]ClientState{},
	}
}

// RunID names this life of the source.
func (s *Server) RunID() string { return s.runID }

// Publish takes a change of a key; a whole one also takes away fields that it does not have.
func (s *Server) Publish(key string, revision, settled register.Revision, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(key, revision, settled, change, full)
	s.wake()
}

// PublishDeferred is Put for hints without a revision, that may wait a little for others and for what cannot wait.
func (s *Server) PublishDeferred(key string, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(key, register.Revision{}, register.Revision{}, change, full)
	if !s.deferredPending {
		s.deferredPending = true
		time.AfterFunc(deferDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.deferredPending {
				s.wake()
			}
		})
	}
}

// wake answers the asks that are held; s.mu is held.
func (s *Server) wake() {
	s.wakeOffset, s.deferredPending = s.offset, false
	close(s.updated)
	s.updated = make(chan struct{})
}

// publish is Put without waking anybody; s.mu is held.
func (s *Server) publish(key string, revision, settled register.Revision, change register.Fields, complete bool) {
	k := s.keys[key]
	if k == nil {
		k = &publishedKey{fields: map[string]fieldState{}}
		s.keys[key] = k
	}
	if complete {
		full := register.Fields{}
		for field, c := range k.fields {
			if c.value != nil {
				full[field] = nil
			}
		}
		maps.Copy(full, change)
		change = full
	}
	for field, value := range change {
		s.setField(key, k, field, value)
	}
	k.revision, k.committed = revision, settled
	s.offset++
	s.order.Delete(position{offset: k.offset})
	k.offset = s.offset
	s.order.ReplaceOrInsert(position{s.offset, key, ""})
	for s.tombstones.Len() > maxTombstones {
		s.compactTombstone()
	}
}

func (s *Server) setField(key string, k *publishedKey, field string, value json.RawMessage) {
	old, ok := k.fields[field]
	if register.IsDeleted(value) {
		value = nil
		if !ok || old.value == nil {
			return
		}
	} else if ok && old.value == nil {
		s.tombstones.Delete(position{offset: old.offset})
	} else if ok && string(old.value) == string(value) && k.revision != (register.Revision{}) {
		return
	}
	if ok {
		s.order.Delete(position{offset: old.offset})
	}
	s.offset++
	k.fields[field] = fieldState{value, s.offset, time.Now()}
	s.order.ReplaceOrInsert(position{s.offset, key, field})
	if value == nil {
		s.tombstones.ReplaceOrInsert(position{s.offset, key, field})
	}
}

func (s *Server) compactTombstone() {
	p, _ := s.tombstones.DeleteMin()
	delete(s.keys[p.key].fields, p.field)
	s.order.Delete(p)
	s.compactedOffset = p.offset
}

// Watch answers an ask, at once if there is news, or after the wait.
func (s *Server) Watch(ctx context.Context, request Request) (Response, error) {
	s.mu.Lock()
	resumable := request.RunID == s.runID && request.After >= s.compactedOffset && request.After <= s.offset
	state := ClientState{Name: request.Name, Role: request.Role, Applied: request.Applied, Status: request.Status, lastRequest: time.Now()}
	if resumable {
		state.AcknowledgedOffset = request.After
	}
	s.clients[request.Name] = state
	if resumable && request.After >= s.wakeOffset && request.WaitMs > 0 {
		updated := s.updated
		s.mu.Unlock()
		timer := time.NewTimer(time.Duration(min(request.WaitMs, 1000)) * time.Millisecond)
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
	}
	s.mu.Unlock()
	var validFor time.Duration
	if s.options.ValidFor != nil {
		validFor = s.options.ValidFor() // before the cut: what is vouched for is in it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resumable = resumable && request.After >= s.compactedOffset
	response := Response{RunID: s.runID, Offset: s.offset, Snapshot: !resumable, ValidForMs: validFor.Milliseconds()}
	if s.options.Incarnation != nil {
		response.Incarnation = s.options.Incarnation()
	}
	after := request.After
	if !resumable {
		after = 0
	}
	now, index := time.Now(), map[string]int{}
	s.order.AscendGreaterOrEqual(position{offset: after + 1}, func(p position) bool {
		k := s.keys[p.key]
		i, ok := index[p.key]
		if !ok {
			i = len(response.Updates)
			index[p.key] = i
			response.Updates = append(response.Updates, KeyUpdate{Key: p.key, Revision: k.revision, Committed: k.committed, Fields: register.Fields{}})
		}
		if p.field == "" {
			return true
		}
		e, c := &response.Updates[i], k.fields[p.field]
		e.Fields[p.field] = c.value
		if k.revision == (register.Revision{}) {
			if e.AgesMs == nil {
				e.AgesMs = map[string]int64{}
			}
			e.AgesMs[p.field] = now.Sub(c.changedAt).Milliseconds()
		}
		return true
	})
	return response, nil
}

// ClientStates lists the followers heard within the given time; others are forgotten.
func (s *Server) ClientStates(within time.Duration) []ClientState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []ClientState
	for name, f := range s.clients {
		age := time.Since(f.lastRequest)
		if age > within {
			delete(s.clients, name)
			continue
		}
		f.AgeMs, f.Lag = age.Milliseconds(), s.offset-f.AcknowledgedOffset
		all = append(all, f)
	}
	return all
}
