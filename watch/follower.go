package watch

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/rpc"
)

// KeyState is what a follower has of one key of its source.
type KeyState struct {
	Revision, Committed register.Revision
	Fields              register.Fields
}

// ClientOptions of a follower.
type ClientOptions struct {
	RPC     *rpc.Client
	Address string
	Path    string
	Request func() Request // name, role and what is applied
	Wait    time.Duration
	// OnUpdate gets each answer with entries, after Held was brought up to it.
	OnUpdate func(f *Client, answer Response)
	// OnResponse is told after each answer, with the time when its ask was sent.
	OnResponse func(f *Client, sent time.Time, remaining time.Duration)
}

// Client keeps a copy of a source (§3.1, §3.2).
type Client struct {
	Options     ClientOptions
	mu          sync.Mutex
	runID       string
	incarnation string
	offset      uint64
	freshAt     time.Time
	keys        map[string]*KeyState
	lastError   error
	stopped     chan struct{}
	stopOnce    sync.Once
}

// NewClient makes a follower; Run has it work.
func NewClient(options ClientOptions) *Client {
	return &Client{Options: options, keys: map[string]*KeyState{}, stopped: make(chan struct{})}
}

// Stop ends Run.
func (f *Client) Stop() { f.stopOnce.Do(func() { close(f.stopped) }) }

const (
	requestTimeout  = 2 * time.Second
	snapshotTimeout = 20 * time.Second
	retryDelay      = 100 * time.Millisecond
)

// Run asks until the context ends.
func (f *Client) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-f.stopped:
			stop()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		if f.poll(ctx) == nil {
			continue
		}
		_ = rpc.Sleep(ctx, retryDelay) // the loop looks at the context
	}
}

func (f *Client) poll(ctx context.Context) error {
	request := f.Options.Request()
	timeout := requestTimeout
	f.mu.Lock()
	request.RunID, request.After, request.WaitMs = f.runID, f.offset, f.Options.Wait.Milliseconds()
	f.mu.Unlock()
	if request.After == 0 {
		timeout = snapshotTimeout
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	sent := time.Now()
	response, err := rpc.Call[Response](ctx, f.Options.RPC, f.Options.Address, f.Options.Path, request)
	f.mu.Lock()
	f.lastError = err
	if err != nil {
		if apierror.Is(err, apierror.Unreachable) && ctx.Err() != nil {
			f.Options.RPC.HTTP.CloseIdleConnections()
		}
		f.mu.Unlock()
		return err
	}
	if response.Snapshot {
		f.keys = map[string]*KeyState{}
	}
	for _, e := range response.Updates {
		state := f.keys[e.Key]
		if state == nil {
			state = &KeyState{Fields: register.Fields{}}
			f.keys[e.Key] = state
		}
		state.Revision, state.Committed = e.Revision, e.Committed
		state.Fields.Apply(e.Fields)
	}
	f.runID, f.incarnation, f.offset = response.RunID, response.Incarnation, response.Offset
	f.mu.Unlock()
	if (len(response.Updates) > 0 || response.Snapshot) && f.Options.OnUpdate != nil {
		f.Options.OnUpdate(f, response)
	}
	f.mu.Lock()
	f.freshAt = sent // only now: what counts as fresh has been acted on
	f.mu.Unlock()
	if f.Options.OnResponse != nil {
		f.Options.OnResponse(f, sent, time.Duration(response.ValidForMs)*time.Millisecond)
	}
	return nil
}

// FreshAsOf is FreshAt if the source speaks for that one, else zero: an empty machine at a member's address is not the member.
func (f *Client) FreshAsOf(incarnation string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.incarnation != incarnation {
		return time.Time{}
	}
	return f.freshAt
}

// FreshAt is when the last answered ask was sent; zero if none was.
func (f *Client) FreshAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshAt
}

// LastError is why the last ask failed, or nil.
func (f *Client) LastError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastError
}

// Revisions gives the revision and settled revision of a key.
func (f *Client) Revisions(key string) (revision, settled register.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.keys[key]; h != nil {
		return h.Revision, h.Committed
	}
	return
}

// Read gives a copy of a key's content.
func (f *Client) Read(key string) KeyState {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.keys[key]
	if h == nil {
		return KeyState{Fields: register.Fields{}}
	}
	return KeyState{h.Revision, h.Committed, h.Fields.Clone()}
}

// Keys lists the keys there are.
func (f *Client) Keys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := make([]string, 0, len(f.keys))
	for key := range f.keys {
		keys = append(keys, key)
	}
	return keys
}
