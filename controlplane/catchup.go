package controlplane

import (
	"sync"
	"sync/atomic"

	"asterridge/register"
	"asterridge/router"
	"asterridge/watch"
)

// maxConcurrentKeys is how many keys are caught up or carried over at the same time.
const maxConcurrentKeys = 32

// forEachKey does something for each key, a bounded number at a time, and says for how many it failed.
func forEachKey(keys []string, do func(key string) error) int {
	var all sync.WaitGroup
	var failed atomic.Int64
	room := make(chan struct{}, maxConcurrentKeys)
	for _, key := range keys {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			if do(key) != nil {
				failed.Add(1)
			}
		})
	}
	all.Wait()
	return int(failed.Load())
}

// catchUp adopts settled content that this disk lacks (§2.4), and says how many keys it could not take.
func (c *Core) catchUp(f *watch.Client) (failed int) {
	var behind []string
	for _, key := range f.Keys() {
		revision, settled := f.Revisions(key)
		own := c.acceptor.Revision(key)
		if c.acceptor.Uncommitted(key) && register.IsCommitted(own, settled) {
			c.acceptor.Commit(key, own) // the owner's word for it was lost, and the owner's own disk may lack it
		}
		if key != router.HoldKey && register.IsCommitted(revision, settled) && own.Less(revision) {
			behind = append(behind, key)
		}
	}
	return forEachKey(behind, func(key string) error { return c.adopt(key, f.Read(key)) })
}

// adopt takes over a key's content as another core has it, if that is settled still.
func (c *Core) adopt(key string, held watch.KeyState) error {
	if !register.IsCommitted(held.Revision, held.Committed) {
		return nil
	}
	if err := c.acceptor.Adopt(key, held.Revision, held.Fields); err != nil {
		if _, said := c.loggedFailures.LoadOrStore(key, true); !said { // a full disk fails each beat
			c.host.Log.Error().Str("event", "catch_up_failed").Str("key", key).Err(err).Msg("")
		}
		return err
	}
	c.loggedFailures.Delete(key)
	c.host.Log.Info().Str("event", "caught_up").Str("key", key).Uint64("version", held.Revision.Version).Msg("")
	return nil
}
