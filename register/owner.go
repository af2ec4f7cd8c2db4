package register

import (
	"context"
	"sync"
	"time"

	"asterridge/fail"
)

// Partner is a keeper elsewhere, or this core's own.
type Partner interface {
	Promise(ctx context.Context, key string, epoch uint64, has Stamp) (Record, error)
	Accept(ctx context.Context, change Change) error
	Settle(ctx context.Context, key string, stamp Stamp)
}

// Op reads the working copy and gives the fields to change, or an error that concerns its caller alone.
type Op func(now Fields, version uint64) (Fields, error)

// OwnerOptions of an owner.
type OwnerOptions struct {
	ID       func() uint8 // this core's number, the low byte of its epochs
	Keeper   *Keeper
	Partners func() []Partner // the other members
	Members  func() int       // how many members there are
	Wait     time.Duration    // how long to wait for a majority
}

// Owner changes the keys that this core owns (§2.3).
type Owner struct {
	options OwnerOptions
	mu      sync.Mutex
	keys    map[string]*owned
}

type owned struct {
	ops      []*pending
	isBusy   bool
	epoch    uint64 // 0 while the key is not ours
	seen     uint64 // highest epoch met
	stamp    Stamp
	settled  Stamp
	fields   Fields
	isShaken bool // an earlier change is undecided
}

type pending struct {
	op     Op
	result chan result
}

type result struct {
	stamp Stamp
	err   error
}

// NewOwner makes the owner's side of a core.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, keys: map[string]*owned{}}
}

// Change applies an op to a key; nil error means that a majority has it on disk. A nil op settles the key.
func (o *Owner) Change(ctx context.Context, key string, op Op) (Stamp, error) {
	p := &pending{op: op, result: make(chan result, 1)}
	o.mu.Lock()
	k := o.keys[key]
	if k == nil {
		k = &owned{}
		o.keys[key] = k
	}
	k.ops = append(k.ops, p)
	if !k.isBusy {
		k.isBusy = true
		go o.work(key, k)
	}
	o.mu.Unlock()
	select {
	case r := <-p.result:
		return r.stamp, r.err
	case <-ctx.Done():
		return Stamp{}, fail.Wrap(ctx.Err(), fail.Undecided, "change "+key)
	}
}

// work takes all waiting ops of a key as one batch, again and again, until none waits.
func (o *Owner) work(key string, k *owned) {
	for {
		o.mu.Lock()
		batch := k.ops
		k.ops = nil
		if len(batch) == 0 {
			k.isBusy = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), o.options.Wait)
		o.serve(ctx, key, k, batch)
		stop()
	}
}

func (o *Owner) serve(ctx context.Context, key string, k *owned, batch []*pending) {
	if k.epoch != 0 && o.options.Keeper.Promised(key) > k.epoch {
		k.epoch = 0 // another owner has asked this very disk
	}
	if k.epoch == 0 {
		err := o.take(ctx, key, k)
		for again := 0; again < 2 && fail.Is(err, fail.Superseded); again++ {
			err = o.take(ctx, key, k)
		}
		if err != nil {
			for _, p := range batch {
				p.result <- result{err: err}
			}
			return
		}
	}
	working, change := k.fields.Clone(), Fields{}
	var winners []*pending
	isTouched := k.isShaken
	for _, p := range batch {
		if p.op == nil {
			winners = append(winners, p)
			continue
		}
		delta, err := p.op(working, k.stamp.Version)
		if err != nil {
			p.result <- result{stamp: k.stamp, err: err}
			continue
		}
		working.Apply(delta)
		for name, value := range delta {
			change[name] = value
		}
		isTouched = isTouched || len(delta) > 0
		winners = append(winners, p)
	}
	var err error
	if isTouched {
		err = o.write(ctx, key, k, change, working)
	}
	for _, p := range winners {
		p.result <- result{stamp: k.stamp, err: err}
	}
}

// take gets the key under a new epoch and adopts the highest accepted content.
func (o *Owner) take(ctx context.Context, key string, k *owned) error {
	epoch := (max(k.seen, o.options.Keeper.Promised(key))>>8+1)<<8 | uint64(o.options.ID())
	k.seen = epoch
	own := o.options.Keeper.Read(key)
	best, settled := own, own.Settled
	var refusal error
	count := 0
	answers := gather(o.everyone(), func(p Partner) (Record, error) { return p.Promise(ctx, key, epoch, own.Stamp) })
	for count < o.majority() {
		a, isOpen := <-answers
		if !isOpen {
			break
		}
		if a.err != nil {
			if fail.Is(a.err, fail.Superseded) {
				k.seen = max(k.seen, uint64(fail.Of(a.err).At))
				refusal = a.err
			}
			continue
		}
		count++
		if best.Stamp.Less(a.value.Stamp) {
			best = a.value
		}
		if settled.Less(a.value.Settled) {
			settled = a.value.Settled
		}
	}
	if count < o.majority() {
		if refusal != nil {
			return refusal
		}
		return fail.New(fail.NoMajority, "%d of %d promises for %s", count, o.majority(), key)
	}
	k.epoch, k.stamp, k.fields, k.settled = epoch, best.Stamp, best.Fields.Clone(), settled
	k.isShaken = !IsSettled(best.Stamp, settled)
	return nil
}

// write has one version accepted by a majority.
func (o *Owner) write(ctx context.Context, key string, k *owned, change, whole Fields) error {
	next := Stamp{Epoch: k.epoch, Version: k.stamp.Version + 1}
	if len(change) == 0 {
		next.Version = k.stamp.Version // the adopted content under the new epoch
	}
	delta := Change{Key: key, Base: k.stamp, Next: next, Fields: change, Settled: k.settled}
	ask := func(p Partner) (struct{}, error) {
		err := p.Accept(ctx, delta)
		if fail.Is(err, fail.Behind) {
			full := delta
			full.IsWhole, full.Fields = true, whole
			err = p.Accept(ctx, full)
		}
		return struct{}{}, err
	}
	count := 0
	answers := gather(o.everyone(), ask)
	var refusal error
	for count < o.majority() {
		a, isOpen := <-answers
		if !isOpen {
			break
		}
		switch {
		case a.err == nil:
			count++
		case fail.Is(a.err, fail.Superseded):
			k.seen = max(k.seen, uint64(fail.Of(a.err).At))
			refusal = a.err
		case refusal == nil:
			refusal = a.err
		}
	}
	if count < o.majority() {
		k.epoch = 0
		return fail.New(fail.Undecided, "%d of %d disks have %s version %d: %v", count, o.majority(), key, next.Version, refusal)
	}
	k.stamp, k.fields, k.settled, k.isShaken = next, whole, next, false
	o.options.Keeper.Settle(key, next)
	for _, p := range o.options.Partners() {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), o.options.Wait)
			defer stop()
			p.Settle(ctx, key, next)
		}()
	}
	return nil
}

// everyone is this core's own keeper and those of the other members.
func (o *Owner) everyone() []Partner {
	return append([]Partner{local{o.options.Keeper}}, o.options.Partners()...)
}

func (o *Owner) majority() int { return o.options.Members()/2 + 1 }

// Owns lists the keys held now with their epochs.
func (o *Owner) Owns() map[string]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := map[string]uint64{}
	for key, k := range o.keys {
		if !k.isBusy && k.epoch != 0 {
			all[key] = k.epoch
		}
	}
	return all
}

type local struct{ keeper *Keeper }

func (l local) Promise(_ context.Context, key string, epoch uint64, has Stamp) (Record, error) {
	return l.keeper.Promise(key, epoch, has)
}
func (l local) Accept(_ context.Context, change Change) error     { return l.keeper.Accept(change) }
func (l local) Settle(_ context.Context, key string, stamp Stamp) { l.keeper.Settle(key, stamp) }

type answer[T any] struct {
	value T
	err   error
}

// gather asks all at once; the channel closes after the last answer.
func gather[P, T any](partners []P, ask func(P) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(partners))
	var all sync.WaitGroup
	for _, p := range partners {
		all.Go(func() {
			value, err := ask(p)
			answers <- answer[T]{value, err}
		})
	}
	go func() { all.Wait(); close(answers) }()
	return answers
}
