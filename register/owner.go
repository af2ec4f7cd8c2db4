package register

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
)

const (
	// MemberBits is the number of low bits of an epoch that hold the owner's member ID. Member IDs are never reused, so no two owners share
	// an epoch.
	MemberBits = 24
	// acquireRetries is the number of times that a register is prepared again, under a higher epoch, after an acceptor rejected the epoch
	// because of another owner.
	acquireRetries = 2
)

// Op computes a change from a working copy of a register's content. It returns the change, which may be empty, or an error that is returned
// to its own caller only. It may be called again on newer content, and must not modify the fields.
type Op func(present Fields, version uint64) (change Fields, err error)

// OwnerOptions configure an Owner.
type OwnerOptions struct {
	// MemberID returns the member ID of this core, which is the low bits of its epochs.
	MemberID func() uint32
	Acceptor *Acceptor
	// Voters returns the acceptors of the current members for a register. If it fails, the pending calls fail with its error.
	Voters func(key string) (Voters, error)
	// Timeout is how long one batch of calls waits for a majority.
	Timeout time.Duration
}

// Owner changes registers. Which core acts as the owner of a register affects only speed: if two cores do so for the same register, epochs
// keep it consistent.
type Owner struct {
	options OwnerOptions

	mu   sync.Mutex // guards keys, and the queue and busy of each
	keys map[string]*ownedKey
}

// ownedKey is the state of one register at its owner. Except for queue and busy, it is accessed only by the goroutine that processes the
// register while busy is set.
type ownedKey struct {
	queue []*pending
	busy  bool

	// epoch is the epoch that a majority has promised, or zero while this core doesn't own the register.
	epoch uint64
	// highestSeen is the highest epoch that was used or reported by an acceptor.
	highestSeen uint64
	// revision, fields and committed are the register's state as known to the owner. While the register is owned, fields are on a majority.
	revision  Revision
	fields    Fields
	committed Revision
}

// pending is a call waiting for its result.
type pending struct {
	op Op // nil for a call that only commits the present content
	// rewrite has a majority accept the content again even if it is known to be committed.
	rewrite bool
	ctx     context.Context // the caller's
	result  chan result
}

type result struct {
	revision Revision
	err      error
}

// NewOwner returns an Owner that owns no register yet.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, keys: map[string]*ownedKey{}}
}

// Change applies an op to a register. A nil error means that a majority has the change on disk. An error of the op itself, and the success
// of an op without a change, are returned only after a majority has confirmed, since the call began, that this core owns the register. The
// other errors are apierror.Undecided if the change may or may not have been made, and NoMajority, Superseded and those of
// OwnerOptions.Voters if nothing was done.
func (o *Owner) Change(ctx context.Context, key string, op Op) (Revision, error) {
	return o.submit(ctx, key, &pending{op: op, ctx: ctx, result: make(chan result, 1)})
}

// Commit makes sure that the content of a register is on a majority, and returns its revision, which is at least as new as the one that was
// committed when Commit was called. With rewrite, the current members accept the content again even if it is known to be committed. The
// errors are those of Change.
func (o *Owner) Commit(ctx context.Context, key string, rewrite bool) (Revision, error) {
	return o.submit(ctx, key, &pending{rewrite: rewrite, ctx: ctx, result: make(chan result, 1)})
}

// OwnedKeys returns the registers that this core owns and that have no call in progress, with their epochs.
func (o *Owner) OwnedKeys() map[string]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := map[string]uint64{}
	for key, k := range o.keys {
		if !k.busy && k.epoch != 0 {
			owned[key] = k.epoch
		}
	}
	return owned
}

// submit queues a call and waits for its result.
func (o *Owner) submit(ctx context.Context, key string, p *pending) (Revision, error) {
	o.mu.Lock()
	k := o.keys[key]
	if k == nil {
		k = &ownedKey{}
		o.keys[key] = k
	}
	k.queue = append(k.queue, p)
	if !k.busy {
		k.busy = true
		go o.run(key, k)
	}
	o.mu.Unlock()
	select {
	case r := <-p.result:
		return r.revision, r.err
	case <-ctx.Done():
		return Revision{}, apierror.Wrap(ctx.Err(), apierror.Undecided, "change "+key)
	}
}

// run processes the queued calls of a register, all that are queued as one batch, until the queue is empty.
func (o *Owner) run(key string, k *ownedKey) {
	for {
		o.mu.Lock()
		batch := k.queue
		k.queue = nil
		if len(batch) == 0 {
			k.busy = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), o.options.Timeout)
		time.AfterFunc(o.options.Timeout, cancel) // not when the batch ends: requests to slower members must still go through
		o.process(ctx, key, k, batch)
	}
}

// process answers a batch. An answer is valid only if a majority has acknowledged this owner's epoch after the whole batch had arrived: by
// promising it, by accepting a version under it, or by confirming it.
func (o *Owner) process(ctx context.Context, key string, k *ownedKey, batch []*pending) {
	voters, err := o.options.Voters(key)
	if err == nil {
		err = voters.check(key)
	}
	if err != nil {
		rejectAll(batch, err)
		return
	}
	acquired, err := o.ensureOwned(ctx, voters, key, k)
	if err != nil {
		rejectAll(batch, err)
		return
	}
	e := k.evaluate(batch)
	if !e.needsWrite && !acquired {
		if e, err = o.confirmEvaluation(ctx, voters, key, k, batch, e); err != nil {
			rejectAll(batch, apierror.New(apierror.Undecided, "ownership of %s not confirmed by a majority: %v", key, err))
			return
		}
	}
	if e.needsWrite {
		if err := o.write(ctx, voters, key, k, e.change, e.content); err != nil {
			rejectAll(batch, err) // also the calls without a change: their answers depend on the content that was being written
			return
		}
	}
	for i, p := range batch {
		p.result <- result{revision: k.revision, err: e.rejections[i]}
	}
}

func rejectAll(batch []*pending, err error) {
	for _, p := range batch {
		p.result <- result{err: err}
	}
}

// confirmEvaluation has a majority confirm the epoch under which a batch without a write was evaluated. If another owner has superseded it,
// and so may have changed the register, the register is acquired and the batch evaluated again. That is safe: nothing of the first
// evaluation was written or answered.
func (o *Owner) confirmEvaluation(ctx context.Context, voters Voters, key string, k *ownedKey, batch []*pending, e evaluation) (evaluation, error) {
	err := o.confirm(ctx, voters, key, k)
	if apierror.Is(err, apierror.Superseded) {
		if _, err = o.ensureOwned(ctx, voters, key, k); err == nil {
			e = k.evaluate(batch)
		}
	}
	return e, err
}

// evaluation is the result of applying a batch to the content known to the owner.
type evaluation struct {
	// content is the register's content after the batch, and change is the part of it that the batch changes.
	content Fields
	change  Fields
	// rejections holds the error of each call of the batch, or nil for a success.
	rejections []error
	needsWrite bool
}

// evaluate applies the calls of a batch in order to one working copy of the content.
func (k *ownedKey) evaluate(batch []*pending) evaluation {
	e := evaluation{content: k.fields.Clone(), change: Fields{}, rejections: make([]error, len(batch))}
	for i, p := range batch {
		if p.op == nil {
			e.needsWrite = e.needsWrite || p.rewrite && k.revision.Version > 0
			continue
		}
		if err := p.ctx.Err(); err != nil { // the caller may have retried at another core, and changed the register since then
			e.rejections[i] = apierror.Wrap(err, apierror.Undecided, "caller canceled the change before it was applied")
			continue
		}
		change, err := p.op(e.content, k.revision.Version)
		if err != nil {
			e.rejections[i] = err
			continue
		}
		e.content.Apply(change)
		for name, value := range change {
			e.change[name] = value
		}
		e.needsWrite = e.needsWrite || len(change) > 0
	}
	return e
}

// ensureOwned acquires the register if this core doesn't own it. The result acquired reports whether a majority has just promised the epoch.
func (o *Owner) ensureOwned(ctx context.Context, voters Voters, key string, k *ownedKey) (acquired bool, err error) {
	if k.epoch != 0 && o.options.Acceptor.Promised(key) > k.epoch {
		k.epoch = 0 // this core's own acceptor has promised a higher epoch to another owner
	}
	if k.epoch != 0 {
		return false, nil
	}
	err = o.acquire(ctx, voters, key, k)
	for retry := 0; retry < acquireRetries && apierror.Is(err, apierror.Superseded); retry++ {
		err = o.acquire(ctx, voters, key, k)
	}
	return err == nil, err
}
