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

// Ask is a follower's question: what is after number From? It acknowledges all up to From.
type Ask struct {
	Name    string                       `json:"name"`
	Role    string                       `json:"role"`
	Run     string                       `json:"run"`
	From    uint64                       `json:"from"`
	WaitMs  int64                        `json:"wait_ms"`
	Applied map[string]register.Revision `json:"applied,omitempty"` // what the follower acts on
	Status  json.RawMessage              `json:"status,omitempty"`  // a few words for the operators
}

// Answer is one consistent cut of a source.
type Answer struct {
	Run         string  `json:"run"`
	Who         string  `json:"who,omitempty"` // whose state this is: a core's incarnation while it is a member
	Number      uint64  `json:"number"`
	Snapshot    bool    `json:"image,omitempty"`
	Entries     []Entry `json:"entries,omitempty"`
	RemainingMs int64   `json:"remaining_ms,omitempty"` // how much longer the source vouches for this
}

// Entry is a key's changed fields.
type Entry struct {
	Key      string            `json:"key"`
	Revision register.Revision `json:"stamp"`
	Settled  register.Revision `json:"settled"`
	Fields   register.Fields   `json:"fields,omitempty"`
	AgesMs   map[string]int64  `json:"ages_ms,omitempty"` // of fields without a revision
}

const (
	maxTombs = 4096
	soonTime = 300 * time.Millisecond // that hints wait for each other
)

// Source has the newest value of each field by number (§3.1).
type Source struct {
	options   SourceOptions
	run       string
	mu        sync.Mutex
	number    uint64
	ripe      uint64               // asks behind it are answered at once
	soon      bool                 // there is more, whose time will come
	floor     uint64               // tombstones up to here are dropped
	tombs     *btree.BTreeG[place] // fields that are gone, by number
	keys      map[string]*sourced
	order     *btree.BTreeG[place]
	news      chan struct{}
	followers map[string]FollowerState
}

type sourced struct {
	revision, settled register.Revision
	number            uint64
	cells             map[string]cell
}

type cell struct {
	value  json.RawMessage
	number uint64
	at     time.Time
}

type place struct {
	number     uint64
	key, field string
}

func isBefore(a, b place) bool { return a.number < b.number }

// FollowerState is what a source knows of a follower.
type FollowerState struct {
	Name    string                       `json:"name"`
	Role    string                       `json:"role"`
	Acked   uint64                       `json:"acked"`
	Lag     uint64                       `json:"behind"`
	AgeMs   int64                        `json:"age_ms"`
	Applied map[string]register.Revision `json:"applied,omitempty"`
	Status  json.RawMessage              `json:"status,omitempty"`
	at      time.Time
}

// SourceOptions of a source; both may be nil.
type SourceOptions struct {
	Who       func() string
	Remaining func() time.Duration // how much longer what is here is vouched for
}

// NewSource makes an empty source.
func NewSource(options SourceOptions) *Source {
	return &Source{
		options: options, run: rand.Text(), keys: map[string]*sourced{}, news: make(chan struct{}),
		order:     btree.NewG(32, isBefore),
		tombs:     btree.NewG(32, isBefore),
		followers: map[string]FollowerState{},
	}
}

// Run names this life of the source.
func (s *Source) Run() string { return s.run }

// Put takes a change of a key; a whole one also takes away fields that it does not have.
func (s *Source) Put(key string, revision, settled register.Revision, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, revision, settled, change, full)
	s.wake()
}

// PutSoon is Put for hints without a revision, that may wait a little for others and for what cannot wait.
func (s *Source) PutSoon(key string, change register.Fields, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, register.Revision{}, register.Revision{}, change, full)
	if !s.soon {
		s.soon = true
		time.AfterFunc(soonTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.soon {
				s.wake()
			}
		})
	}
}

// wake answers the asks that are held; s.mu is held.
func (s *Source) wake() {
	s.ripe, s.soon = s.number, false
	close(s.news)
	s.news = make(chan struct{})
}

// put is Put without waking anybody; s.mu is held.
func (s *Source) put(key string, revision, settled register.Revision, change register.Fields, complete bool) {
	k := s.keys[key]
	if k == nil {
		k = &sourced{cells: map[string]cell{}}
		s.keys[key] = k
	}
	if complete {
		full := register.Fields{}
		for field, c := range k.cells {
			if c.value != nil {
				full[field] = nil
			}
		}
		maps.Copy(full, change)
		change = full
	}
	for field, value := range change {
		s.set(key, k, field, value)
	}
	k.revision, k.settled = revision, settled
	s.number++
	s.order.Delete(place{number: k.number})
	k.number = s.number
	s.order.ReplaceOrInsert(place{s.number, key, ""})
	for s.tombs.Len() > maxTombs {
		s.dropTomb()
	}
}

func (s *Source) set(key string, k *sourced, field string, value json.RawMessage) {
	old, ok := k.cells[field]
	if register.IsDeleted(value) {
		value = nil
		if !ok || old.value == nil {
			return
		}
	} else if ok && old.value == nil {
		s.tombs.Delete(place{number: old.number})
	} else if ok && string(old.value) == string(value) && k.revision != (register.Revision{}) {
		return
	}
	if ok {
		s.order.Delete(place{number: old.number})
	}
	s.number++
	k.cells[field] = cell{value, s.number, time.Now()}
	s.order.ReplaceOrInsert(place{s.number, key, field})
	if value == nil {
		s.tombs.ReplaceOrInsert(place{s.number, key, field})
	}
}

func (s *Source) dropTomb() {
	p, _ := s.tombs.DeleteMin()
	delete(s.keys[p.key].cells, p.field)
	s.order.Delete(p)
	s.floor = p.number
}

// Pull answers an ask, at once if there is news, or after the wait.
func (s *Source) Pull(ctx context.Context, ask Ask) (Answer, error) {
	s.mu.Lock()
	same := ask.Run == s.run && ask.From >= s.floor && ask.From <= s.number
	state := FollowerState{Name: ask.Name, Role: ask.Role, Applied: ask.Applied, Status: ask.Status, at: time.Now()}
	if same {
		state.Acked = ask.From
	}
	s.followers[ask.Name] = state
	if same && ask.From >= s.ripe && ask.WaitMs > 0 {
		news := s.news
		s.mu.Unlock()
		timer := time.NewTimer(time.Duration(min(ask.WaitMs, 1000)) * time.Millisecond)
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
	}
	s.mu.Unlock()
	var remaining time.Duration
	if s.options.Remaining != nil {
		remaining = s.options.Remaining() // before the cut: what is vouched for is in it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	same = same && ask.From >= s.floor
	answer := Answer{Run: s.run, Number: s.number, Snapshot: !same, RemainingMs: remaining.Milliseconds()}
	if s.options.Who != nil {
		answer.Who = s.options.Who()
	}
	from := ask.From
	if !same {
		from = 0
	}
	now, at := time.Now(), map[string]int{}
	s.order.AscendGreaterOrEqual(place{number: from + 1}, func(p place) bool {
		k := s.keys[p.key]
		i, ok := at[p.key]
		if !ok {
			i = len(answer.Entries)
			at[p.key] = i
			answer.Entries = append(answer.Entries, Entry{Key: p.key, Revision: k.revision, Settled: k.settled, Fields: register.Fields{}})
		}
		if p.field == "" {
			return true
		}
		e, c := &answer.Entries[i], k.cells[p.field]
		e.Fields[p.field] = c.value
		if k.revision == (register.Revision{}) {
			if e.AgesMs == nil {
				e.AgesMs = map[string]int64{}
			}
			e.AgesMs[p.field] = now.Sub(c.at).Milliseconds()
		}
		return true
	})
	return answer, nil
}

// FollowerStates lists the followers heard within the given time; others are forgotten.
func (s *Source) FollowerStates(within time.Duration) []FollowerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []FollowerState
	for name, f := range s.followers {
		age := time.Since(f.at)
		if age > within {
			delete(s.followers, name)
			continue
		}
		f.AgeMs, f.Lag = age.Milliseconds(), s.number-f.Acked
		all = append(all, f)
	}
	return all
}
