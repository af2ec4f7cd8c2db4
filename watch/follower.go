package watch

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/rpc"
)

// Held is what a follower has of one key of its source.
type Held struct {
	Revision, Settled register.Revision
	Fields            register.Fields
}

// FollowerOptions of a follower.
type FollowerOptions struct {
	RPC     *rpc.Client
	Address string
	Path    string
	Ask     func() Ask // name, role and what is applied
	Wait    time.Duration
	// News gets each answer with entries, after Held was brought up to it.
	News func(f *Follower, answer Answer)
	// Fresh is told after each answer, with the time when its ask was sent.
	Fresh func(f *Follower, sent time.Time, remaining time.Duration)
}

// Follower keeps a copy of a source (§3.1, §3.2).
type Follower struct {
	Options FollowerOptions
	mu      sync.Mutex
	run     string
	who     string
	number  uint64
	fresh   time.Time
	keys    map[string]*Held
	failure error
	ended   chan struct{}
	once    sync.Once
}

// NewFollower makes a follower; Run has it work.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{Options: options, keys: map[string]*Held{}, ended: make(chan struct{})}
}

// Stop ends Run.
func (f *Follower) Stop() { f.once.Do(func() { close(f.ended) }) }

const (
	askTime      = 2 * time.Second
	snapshotTime = 20 * time.Second
	pause        = 100 * time.Millisecond
)

// Run asks until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-f.ended:
			stop()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		if f.step(ctx) == nil {
			continue
		}
		_ = rpc.Sleep(ctx, pause) // the loop looks at the context
	}
}

func (f *Follower) step(ctx context.Context) error {
	ask := f.Options.Ask()
	limit := askTime
	f.mu.Lock()
	ask.Run, ask.From, ask.WaitMs = f.run, f.number, f.Options.Wait.Milliseconds()
	f.mu.Unlock()
	if ask.From == 0 {
		limit = snapshotTime
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	sent := time.Now()
	answer, err := rpc.Call[Answer](ctx, f.Options.RPC, f.Options.Address, f.Options.Path, ask)
	f.mu.Lock()
	f.failure = err
	if err != nil {
		if apierror.Is(err, apierror.Unreachable) && ctx.Err() != nil {
			f.Options.RPC.HTTP.CloseIdleConnections()
		}
		f.mu.Unlock()
		return err
	}
	if answer.Snapshot {
		f.keys = map[string]*Held{}
	}
	for _, e := range answer.Entries {
		h := f.keys[e.Key]
		if h == nil {
			h = &Held{Fields: register.Fields{}}
			f.keys[e.Key] = h
		}
		h.Revision, h.Settled = e.Revision, e.Settled
		h.Fields.Apply(e.Fields)
	}
	f.run, f.who, f.number = answer.Run, answer.Who, answer.Number
	f.mu.Unlock()
	if (len(answer.Entries) > 0 || answer.Snapshot) && f.Options.News != nil {
		f.Options.News(f, answer)
	}
	f.mu.Lock()
	f.fresh = sent // only now: what counts as fresh has been acted on
	f.mu.Unlock()
	if f.Options.Fresh != nil {
		f.Options.Fresh(f, sent, time.Duration(answer.RemainingMs)*time.Millisecond)
	}
	return nil
}

// FreshOf is FreshAt if the source speaks for that one, else zero: an empty machine at a member's address is not the member.
func (f *Follower) FreshOf(who string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.who != who {
		return time.Time{}
	}
	return f.fresh
}

// FreshAt is when the last answered ask was sent; zero if none was.
func (f *Follower) FreshAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// Failure is why the last ask failed, or nil.
func (f *Follower) Failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failure
}

// Revisions gives the revision and settled revision of a key.
func (f *Follower) Revisions(key string) (revision, settled register.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.keys[key]; h != nil {
		return h.Revision, h.Settled
	}
	return
}

// Read gives a copy of a key's content.
func (f *Follower) Read(key string) Held {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.keys[key]
	if h == nil {
		return Held{Fields: register.Fields{}}
	}
	return Held{h.Revision, h.Settled, h.Fields.Clone()}
}

// Keys lists the keys there are.
func (f *Follower) Keys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := make([]string, 0, len(f.keys))
	for key := range f.keys {
		keys = append(keys, key)
	}
	return keys
}
