package router

import (
	"sync"
)

// running counts the requests that are being served. New requests may arrive while someone waits for the count to reach zero.
type running struct {
	mu    sync.Mutex
	count int
	ended chan struct{} // closed when the count reaches zero; nil unless someone waits
}

// add counts the start (1) or the end (-1) of a request.
func (o *running) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count += n; o.count == 0 && o.ended != nil {
		close(o.ended)
		o.ended = nil
	}
}

// idle returns a channel that is closed when no request is being served.
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
