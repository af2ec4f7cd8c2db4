package controlplane

import "sync"

// defaultPendingBytes bounds the changes that wait for one member's answer where the deployment gives no memory.
const defaultPendingBytes = 16 << 20

// byteBudget bounds the bytes that wait for each member's answer: a member that is frozen takes what is sent to it until each call ends.
type byteBudget struct {
	limit int

	mu      sync.Mutex // guards pending
	pending map[string]int
}

func newByteBudget(limit int) *byteBudget {
	if limit == 0 {
		limit = defaultPendingBytes
	}
	return &byteBudget{limit: limit, pending: map[string]int{}}
}

// reserve takes bytes for a message to a member, and reports whether they fit. A message to a member for which nothing waits always does.
func (b *byteBudget) reserve(address string, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.pending[address]
	if before > 0 && before+bytes > b.limit {
		return false
	}
	b.pending[address] = before + bytes
	return true
}

// release gives back what was reserved, once the message is answered or given up.
func (b *byteBudget) release(address string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[address] -= bytes
	if b.pending[address] == 0 {
		delete(b.pending, address)
	}
}
