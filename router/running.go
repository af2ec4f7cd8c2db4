package router

import (
	"sync"
)

// running counts the requests that are being served. A request may still come while the end is waited for.
type running struct {
	mu    sync.Mutex
	count int
	ended chan struct{} // closed at zero, if somebody waits
}

// add counts a request that comes (1) or goes (-1).
func (o *running) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count += n; o.count == 0 && o.ended != nil {
		close(o.ended)
		o.ended = nil
	}
}

// idle gives a channel that is closed when no request is being served.
func (o *running) idle() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := make(chan struct{})
	if o.count == 0 {
		close(ended)
	} else {
		o.ended = ended
	}
	return ended
}
