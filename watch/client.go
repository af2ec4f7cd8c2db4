package watch

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/rpc"
)

const (
	// requestTimeout bounds a request for changes, snapshotTimeout one for a snapshot.
	requestTimeout  = 2 * time.Second
	snapshotTimeout = 20 * time.Second
	// retryDelay is the delay after a failed request.
	retryDelay = 100 * time.Millisecond
)

// ClientOptions configures a client.
type ClientOptions struct {
	RPC     *rpc.Client
	Address string
	Path    string
	// Request returns the next request with name, role, status and applied revisions; the client sets the other fields.
	Request func() Request
	// Wait is how long a request may be held open.
	Wait time.Duration
	// OnUpdate is called with each response that has updates or is a snapshot, after it was applied to the copy; may be nil.
	OnUpdate func(c *Client, response Response)
	// OnResponse is called after each response, with the time when its request was sent; may be nil.
	OnResponse func(c *Client, sent time.Time, validFor time.Duration)
}

// Client maintains a copy of a server's state.
type Client struct {
	Options ClientOptions

	stopped  chan struct{}
	stopOnce sync.Once

	mu sync.Mutex // guards the fields below
	// runID, incarnation and offset are taken from the last response.
	runID       string
	incarnation string
	offset      uint64
	// freshAt is the send time of the last answered request; zero if none was answered.
	freshAt   time.Time
	keys      map[string]*KeyState
	lastError error
}

// KeyState is a client's copy of one key.
type KeyState struct {
	Revision, Committed register.Revision
	Fields              register.Fields
}

// NewClient returns a client; it sends requests only while Run is running.
func NewClient(options ClientOptions) *Client {
	return &Client{Options: options, keys: map[string]*KeyState{}, stopped: make(chan struct{})}
}

// Stop ends Run.
func (c *Client) Stop() { c.stopOnce.Do(func() { close(c.stopped) }) }

// Run sends requests until the context ends or Stop is called.
func (c *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		if c.poll(ctx) != nil {
			_ = rpc.Sleep(ctx, retryDelay) // an ended context ends the loop
		}
	}
}

// poll sends one request and handles its response.
func (c *Client) poll(ctx context.Context) error {
	request, timeout := c.nextRequest()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	response, err := rpc.Call[Response](ctx, c.Options.RPC, c.Options.Address, c.Options.Path, request)
	if err != nil {
		c.fail(ctx, err)
		return err
	}
	c.apply(response)
	if (len(response.Updates) > 0 || response.Snapshot) && c.Options.OnUpdate != nil {
		c.Options.OnUpdate(c, response)
	}
	c.mu.Lock()
	c.freshAt = sent // set only after OnUpdate, so that data that counts as fresh has been processed
	c.mu.Unlock()
	if c.Options.OnResponse != nil {
		c.Options.OnResponse(c, sent, time.Duration(response.ValidForMs)*time.Millisecond)
	}
	return nil
}

func (c *Client) nextRequest() (request Request, timeout time.Duration) {
	request = c.Options.Request()
	c.mu.Lock()
	defer c.mu.Unlock()
	request.RunID, request.After, request.WaitMs = c.runID, c.offset, c.Options.Wait.Milliseconds()
	if request.After == 0 {
		return request, snapshotTimeout
	}
	return request, requestTimeout
}

// fail records the error of a failed request. After a time-out it closes the idle connections, since they may be dead.
func (c *Client) fail(ctx context.Context, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastError = err
	if apierror.Is(err, apierror.Unreachable) && ctx.Err() != nil {
		c.Options.RPC.HTTP.CloseIdleConnections()
	}
}

// apply updates the copy from a response.
func (c *Client) apply(response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastError = nil
	if response.Snapshot {
		c.keys = map[string]*KeyState{}
	}
	for _, update := range response.Updates {
		state := c.keys[update.Key]
		if state == nil {
			state = &KeyState{Fields: register.Fields{}}
			c.keys[update.Key] = state
		}
		state.Revision, state.Committed = update.Revision, update.Committed
		state.Fields.Apply(update.Fields)
	}
	c.runID, c.incarnation, c.offset = response.RunID, response.Incarnation, response.Offset
}

// FreshAt returns the send time of the last answered request; zero if none was answered.
func (c *Client) FreshAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshAt
}

// FreshAsOf returns FreshAt if the last response came from the given incarnation, else zero: a server at a member's address that has lost
// its disk is not that member.
func (c *Client) FreshAsOf(incarnation string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation != incarnation {
		return time.Time{}
	}
	return c.freshAt
}

// LastError returns the error of the last request, or nil if it succeeded.
func (c *Client) LastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastError
}

// Revisions returns the accepted and the committed revision of a key; zero if there is no such key.
func (c *Client) Revisions(key string) (revision, committed register.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.keys[key]; state != nil {
		return state.Revision, state.Committed
	}
	return register.Revision{}, register.Revision{}
}

// Read returns a copy of a key's state; empty if there is no such key.
func (c *Client) Read(key string) KeyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.keys[key]
	if state == nil {
		return KeyState{Fields: register.Fields{}}
	}
	return KeyState{Revision: state.Revision, Committed: state.Committed, Fields: state.Fields.Clone()}
}

// Keys returns the keys in the copy, in no particular order.
func (c *Client) Keys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]string, 0, len(c.keys))
	for key := range c.keys {
		keys = append(keys, key)
	}
	return keys
}
