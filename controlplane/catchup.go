package controlplane

import (
	"sync"
	"sync/atomic"

	"asterridge/register"
	"asterridge/router"
	"asterridge/watch"
)

// maxConcurrentKeys is how many keys are caught up or transferred concurrently.
const maxConcurrentKeys = 32

// forEachKey calls do for each key, with bounded concurrency, and returns the number of keys for which it failed.
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

// catchUp adopts committed content that a peer has and this disk lacks (docs/design.md §2.4), and returns the number of keys for which
// that failed.
func (c *Core) catchUp(peer *watch.Client) (failures int) {
	var outdated []string
	for _, key := range peer.Keys() {
		revision, committed := peer.Revisions(key)
		own := c.acceptor.Revision(key)
		if c.acceptor.Uncommitted(key) && register.IsCommitted(own, committed) {
			c.acceptor.Commit(key, own) // the owner's commit message was lost, and the owner's own disk may lack the content
		}
		if key != router.ThrottleKey && register.IsCommitted(revision, committed) && own.Less(revision) {
			outdated = append(outdated, key)
		}
	}
	return forEachKey(outdated, func(key string) error { return c.adopt(key, peer.Read(key)) })
}

// adopt stores a key's content as read from a peer, if it is still committed there.
func (c *Core) adopt(key string, state watch.KeyState) error {
	if !register.IsCommitted(state.Revision, state.Committed) {
		return nil
	}
	if err := c.acceptor.Adopt(key, state.Revision, state.Fields); err != nil {
		if _, logged := c.loggedFailures.LoadOrStore(key, true); !logged { // log once: a full disk fails at every tick
			c.host.Log.Error().Str("key", key).Err(err).Msg("key not caught up")
		}
		return err
	}
	c.loggedFailures.Delete(key)
	c.host.Log.Info().Str("key", key).Uint64("version", state.Revision.Version).Msg("key caught up")
	return nil
}
