package register

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
)

const (
	// MemberBits is how many low bits of an epoch are the ID of the member that owns under it. IDs are never given twice, so no two owners
	// share an epoch.
	MemberBits = 24
	// acquireRetries is how often a register is prepared again under a higher epoch after another owner was met.
	acquireRetries = 2
)

// Op reads a working copy of a register's content and gives the change to make, which may be none, or an error that concerns its caller
// alone. It may be called again on newer content. The fields must not be altered.
type Op func(present Fields, version uint64) (change Fields, err error)

// OwnerOptions of an owner.
type OwnerOptions struct {
	// MemberID is this core's ID, the low bits of its epochs.
	MemberID func() uint32
	Acceptor *Acceptor
	// Peers are the acceptors of the members in force; an error rejects what is asked.
	Peers func() (Peers, error)
	// Timeout is how long to wait for a majority.
	Timeout time.Duration
}

// Owner changes registers. Which core owns a register is a guess that costs time if it is wrong; that two owners do no harm rests on epochs.
type Owner struct {
	options OwnerOptions

	mu   sync.Mutex // guards keys, and the queue and busy of each
	keys map[string]*ownedKey
}

// ownedKey is one register's state at its owner. All but the queue and busy belongs to the goroutine that works on it while busy is set.
type ownedKey struct {
	queue []*pending
	busy  bool

	// epoch is the one that a majority has promised; zero while the register is not ours.
	epoch uint64
	// highestSeen is the highest epoch met.
	highestSeen uint64
	// revision, fields and committed are what the register has, as the owner knows it. While the register is ours, fields are on a majority.
	revision  Revision
	fields    Fields
	committed Revision
}

// pending is a call that waits for its result.
type pending struct {
	op Op // nil to commit what there is
	// rewrite has a majority accept the content anew even if it is committed.
	rewrite bool
	ctx     context.Context // the caller's
	result  chan result
}

type result struct {
	revision Revision
	err      error
}

// NewOwner makes the owner's side of a core.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, keys: map[string]*ownedKey{}}
}

// Change applies an op to a register; nil means that a majority has the change on disk. The op's own error, and the success of an op without
// a change, are given only once a majority has confirmed, after the call, that this core owns the register. The other errors are
// apierror.Undecided if the change may or may not have been made, and, if nothing was done, NoMajority, Superseded, and those of Peers.
func (o *Owner) Change(ctx context.Context, key string, op Op) (Revision, error) {
	return o.submit(ctx, key, &pending{op: op, ctx: ctx, result: make(chan result, 1)})
}

// Commit makes sure that what a register has is on a majority, and gives its revision: no older one than stood when it was called. With
// rewrite the members in force accept it anew even if it is known to be committed. The errors are those of Change.
func (o *Owner) Commit(ctx context.Context, key string, rewrite bool) (Revision, error) {
	return o.submit(ctx, key, &pending{rewrite: rewrite, ctx: ctx, result: make(chan result, 1)})
}

// OwnedKeys lists the registers that are owned and at rest, with their epochs.
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

// run processes all queued calls of a register as one batch, again and again, until none is queued.
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
		time.AfterFunc(o.options.Timeout, cancel) // not sooner: the slower members are to hear too of what a majority has accepted
		o.process(ctx, key, k, batch)
	}
}

// process answers a batch. An answer counts only if a majority has stood by this owner's epoch after all of the batch had arrived: by having
// promised it, by having accepted a version under it, or by confirming it.
func (o *Owner) process(ctx context.Context, key string, k *ownedKey, batch []*pending) {
	peers, err := o.options.Peers()
	if err != nil {
		rejectAll(batch, err)
		return
	}
	acquired, err := o.ensureOwned(ctx, peers, key, k)
	if err != nil {
		rejectAll(batch, err)
		return
	}
	e := k.evaluate(batch)
	if !e.needsWrite && !acquired {
		if e, err = o.confirmEvaluation(ctx, peers, key, k, batch, e); err != nil {
			rejectAll(batch, apierror.New(apierror.Undecided, "not confirmed for %s: %v", key, err))
			return
		}
	}
	if e.needsWrite {
		if err := o.write(ctx, peers, key, k, e.change, e.content); err != nil {
			rejectAll(batch, err) // those too that change nothing: their answers rest on what was to be written
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

// confirmEvaluation has a majority confirm an evaluation that writes nothing. If another owner was met, which may have changed the register,
// the register is acquired and the batch evaluated again: nothing of the first evaluation was written or answered.
func (o *Owner) confirmEvaluation(ctx context.Context, peers Peers, key string, k *ownedKey, batch []*pending, e evaluation) (evaluation, error) {
	err := o.confirm(ctx, peers, key, k)
	if apierror.Is(err, apierror.Superseded) {
		if _, err = o.ensureOwned(ctx, peers, key, k); err == nil {
			e = k.evaluate(batch)
		}
	}
	return e, err
}

// evaluation is what a batch comes to on the content that the owner knows.
type evaluation struct {
	// content is what the register will have, change what is new in it.
	content Fields
	change  Fields
	// rejections has the error of each call of the batch; nil for a success.
	rejections []error
	needsWrite bool
}

// evaluate applies a batch in order to one working copy.
func (k *ownedKey) evaluate(batch []*pending) evaluation {
	e := evaluation{content: k.fields.Clone(), change: Fields{}, rejections: make([]error, len(batch))}
	for i, p := range batch {
		if p.op == nil {
			e.needsWrite = e.needsWrite || p.rewrite && k.revision.Version > 0
			continue
		}
		if err := p.ctx.Err(); err != nil { // the caller may have gone to another core, and changed the register since
			e.rejections[i] = apierror.Wrap(err, apierror.Undecided, "the caller has gone")
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

// ensureOwned acquires the register unless it is ours; acquired: a majority has just promised the epoch.
func (o *Owner) ensureOwned(ctx context.Context, peers Peers, key string, k *ownedKey) (acquired bool, err error) {
	if k.epoch != 0 && o.options.Acceptor.Promised(key) > k.epoch {
		k.epoch = 0 // another owner has asked this very disk
	}
	if k.epoch != 0 {
		return false, nil
	}
	err = o.acquire(ctx, peers, key, k)
	for retry := 0; retry < acquireRetries && apierror.Is(err, apierror.Superseded); retry++ {
		err = o.acquire(ctx, peers, key, k)
	}
	return err == nil, err
}
