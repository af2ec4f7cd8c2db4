package controlplane

import (
	"sync"
	"sync/atomic"

	"asterridge/register"
	"asterridge/router"
	"asterridge/watch"
)

// maxConcurrentKeys is how many keys are caught up or transferred at the same time.
const maxConcurrentKeys = 32

// forEachKey runs do for each key, a bounded number at a time, and gives the number of keys for which it failed.
func forEachKey(keys []string, do func(key string) error) (failures int) {
	var running sync.WaitGroup
	var failed atomic.Int64
	slots := make(chan struct{}, maxConcurrentKeys)
	for _, key := range keys {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if do(key) != nil {
				failed.Add(1)
			}
		})
	}
	running.Wait()
	return int(failed.Load())
}

// catchUp adopts committed content that a peer has and this disk lacks (docs/design.md §2.4), and gives the number of keys that it could
// not take.
func (c *Core) catchUp(peer *watch.Client) (failures int) {
	var behind []string
	for _, key := range peer.Keys() {
		revision, committed := peer.Revisions(key)
		own := c.acceptor.Revision(key)
		if c.acceptor.Uncommitted(key) && register.IsCommitted(own, committed) {
			c.acceptor.Commit(key, own) // the owner's message was lost, and the owner's own disk may lack the content
		}
		if key != router.ThrottleKey && register.IsCommitted(revision, committed) && own.Less(revision) {
			behind = append(behind, key)
		}
	}
	return forEachKey(behind, func(key string) error { return c.adopt(key, peer.Read(key)) })
}

// adopt takes over a key's content as a peer has it, if that is committed still.
func (c *Core) adopt(key string, state watch.KeyState) error {
	if !register.IsCommitted(state.Revision, state.Committed) {
		return nil
	}
	if err := c.acceptor.Adopt(key, state.Revision, state.Fields); err != nil {
		if _, logged := c.loggedFailures.LoadOrStore(key, true); !logged { // a full disk fails at each tick
			c.host.Log.Error().Str("key", key).Err(err).Msg("key not caught up")
		}
		return err
	}
	c.loggedFailures.Delete(key)
	c.host.Log.Info().Str("key", key).Uint64("version", state.Revision.Version).Msg("key caught up")
	return nil
}
