package soak

import "sync"

// tasks are functions that run in the background. Other than with a sync.WaitGroup, one may begin while Wait is called, also when none is
// running: processes start again at any time, and what is sent to a new life begins with it. The zero value is ready for use.
type tasks struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // closed when none is running any more; nil while nobody waits
}

// Go runs a function in the background.
func (t *tasks) Go(do func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer t.done()
		do()
	}()
}

// done records that a function has ended.
func (t *tasks) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait returns once no function is running.
func (t *tasks) Wait() {
	t.mu.Lock()
	if t.running == 0 {
		t.mu.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	<-idle
}
