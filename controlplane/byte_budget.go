package controlplane

import "sync"

// defaultPendingBytes is the limit per member if Options.PendingBytes is not set, because the deployment does not state how much memory
// there is.
const defaultPendingBytes = 16 << 20

// byteBudget limits the bytes awaiting each member's response. Without a limit, the requests to a suspended member would accumulate in
// memory until each call times out.
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

// reserve reserves bytes for a request to a member, and reports whether they fit. A request to a member with nothing pending always
// fits.
func (b *byteBudget) reserve(address string, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserved := b.pending[address]
	if reserved > 0 && reserved+bytes > b.limit {
		return false
	}
	b.pending[address] = reserved + bytes
	return true
}

// release returns reserved bytes once the request is answered or abandoned.
func (b *byteBudget) release(address string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[address] -= bytes
	if b.pending[address] == 0 {
		delete(b.pending, address)
	}
}
