package register

import (
	"net/url"
	"sort"
	"sync"

	"asterridge/apierror"
	"asterridge/disk"
	"asterridge/rendezvous"
)

// shardCount is the number of separately locked parts of an acceptor's map of registers.
const shardCount = 64

// ChangeFunc is called with a register's record after a change, the changed fields, and whether these are the full content.
type ChangeFunc func(key string, record Record, change Fields, full bool)

// AcceptorOptions configure an Acceptor. Both functions are required.
type AcceptorOptions struct {
	Disk disk.Disk
	// OnChange is called while the register is locked, so that it sees the changes of a register in order. It must not block.
	OnChange ChangeFunc
	// OnSkipped is called for each file that is skipped while loading.
	OnSkipped func(folder, file string, err error)
}

// Acceptor stores what one disk has promised and accepted for all registers. It answers a prepare or an accept only once its file is synced.
type Acceptor struct {
	disk     disk.Disk
	onChange ChangeFunc
	shards   [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry // by key
}

// OpenAcceptor returns an Acceptor with all registers loaded from the disk.
func OpenAcceptor(options AcceptorOptions) (*Acceptor, error) {
	a := &Acceptor{disk: options.Disk, onChange: options.OnChange}
	for i := range a.shards {
		a.shards[i].entries = map[string]*entry{}
	}
	folders, err := a.disk.List("")
	if err != nil {
		return nil, err
	}
	for _, folder := range folders {
		if folder[0] != folderPrefix {
			continue
		}
		key, err := url.QueryUnescape(folder[1:])
		if err != nil {
			options.OnSkipped(folder, "", err)
			continue
		}
		e, err := loadEntry(a.disk, folder, options.OnSkipped)
		if err != nil {
			return nil, err
		}
		a.shardOf(key).entries[key] = e
		a.onChange(key, e.record, e.record.Fields, true)
	}
	return a, nil
}

func (a *Acceptor) shardOf(key string) *shard {
	return &a.shards[rendezvous.Weight(key, "")%shardCount]
}

// entryOf returns the entry of a register, which it creates if there is none.
func (a *Acceptor) entryOf(key string) *entry {
	s := a.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		e = newEntry()
		s.entries[key] = e
	}
	return e
}

// Read returns a copy of a register's record.
func (a *Acceptor) Read(key string) Record {
	e := a.entryOf(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Fields = record.Fields.Clone()
	return record
}

// Revision returns the accepted revision of a register.
func (a *Acceptor) Revision(key string) Revision { return a.entryOf(key).read().Revision }

// Promised returns the highest epoch promised for a register.
func (a *Acceptor) Promised(key string) uint64 { return a.entryOf(key).read().Promised }

// Uncommitted reports whether a register has content that is not known to be on a majority.
func (a *Acceptor) Uncommitted(key string) bool { return !a.entryOf(key).read().IsCommitted() }

// Keys returns the sorted keys of all registers that were loaded or requested since the acceptor was opened.
func (a *Acceptor) Keys() []string {
	var keys []string
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for key := range s.entries {
			keys = append(keys, key)
		}
		s.mu.Unlock()
	}
	sort.Strings(keys)
	return keys
}

// IsDamaged reports whether the accepted version of any register is lost because of a torn file.
func (a *Acceptor) IsDamaged() bool {
	for _, key := range a.Keys() {
		if a.entryOf(key).isDamaged() {
			return true
		}
	}
	return false
}

// Prepare promises an epoch: from then on nothing is accepted under a lower one. The answer contains the fields only if they are newer than
// known, the revision that the caller has. The errors are apierror.Superseded if the same or a higher epoch was promised, Torn and
// DiskFailed.
func (a *Acceptor) Prepare(key string, epoch uint64, known Revision) (Record, error) {
	e := a.entryOf(key)
	if err := e.lockWrites(); err != nil {
		return Record{}, err
	}
	defer e.unlockWrites()
	if e.isDamaged() {
		return Record{}, newDamagedError(key)
	}
	if record := e.read(); epoch <= record.Promised {
		return Record{}, newSupersededError(epoch, record)
	}
	if err := e.storePromise(a.disk, folderName(key), epoch); err != nil {
		return Record{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Promised = epoch
	answer := e.record
	answer.Fields = nil
	if known.Less(answer.Revision) {
		answer.Fields = e.record.Fields.Clone()
	}
	return answer, nil
}

// Confirm returns nil if no higher epoch than the given one was promised. Nothing is written. The errors are apierror.Superseded and Torn.
func (a *Acceptor) Confirm(key string, epoch uint64) error {
	e := a.entryOf(key)
	if e.isDamaged() {
		return newDamagedError(key)
	}
	if record := e.read(); epoch < record.Promised {
		return newSupersededError(epoch, record)
	}
	return nil
}

func newDamagedError(key string) error {
	return apierror.New(apierror.Torn, "the accepted version of %s is lost on this disk; it rejoins after catching up", key)
}

// newSupersededError returns an error whose field At holds the epoch that the caller has to exceed.
func newSupersededError(epoch uint64, record Record) error {
	err := apierror.New(apierror.Superseded, "epoch %d is superseded: promised epoch %d", epoch, record.Promised)
	err.At = int(record.Promised)
	return err
}

// Accept stores a change if no higher epoch was promised, and if the change is full or its base is the accepted revision. The errors are
// apierror.Superseded, Behind if the full content is needed, and DiskFailed, after which the change may nevertheless be on the disk.
func (a *Acceptor) Accept(change Change) error {
	e := a.entryOf(change.Key)
	if err := e.lockWrites(); err != nil {
		return err
	}
	defer e.unlockWrites()
	record := e.read()
	switch {
	case change.Next.Epoch < record.Promised:
		return newSupersededError(change.Next.Epoch, record)
	case !record.Revision.Less(change.Next) && record.Revision.Epoch == change.Next.Epoch:
		return e.syncFolder(a.disk, folderName(change.Key)) // a late duplicate: the accepted revision is the same, or newer within the epoch
	case !record.Revision.Less(change.Next):
		return newSupersededError(change.Next.Epoch, record)
	case !change.Full && (change.Base != record.Revision || e.isDamaged()):
		return apierror.New(apierror.Behind, "accepted revision is %v, but the delta is based on %v", record.Revision, change.Base)
	}
	return a.store(e, change)
}

// Adopt stores committed content that was learned from another core. It doesn't need to check the promised epoch: the content is already on
// a majority, so the owner to which the epoch was promised has seen it elsewhere (docs/design.md §2.4).
func (a *Acceptor) Adopt(key string, revision Revision, fields Fields) error {
	e := a.entryOf(key)
	if err := e.lockWrites(); err != nil {
		return err
	}
	defer e.unlockWrites()
	if !e.read().Revision.Less(revision) {
		a.Commit(key, revision)
		return nil
	}
	return a.store(e, Change{Key: key, Next: revision, Full: true, Fields: fields, Committed: revision})
}

// store writes a change to disk and then makes it visible to readers. The caller holds the write lock.
func (a *Acceptor) store(e *entry, change Change) error {
	if err := e.storeChange(a.disk, folderName(change.Key), change); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(change)
	a.onChange(change.Key, e.record, change.Fields, change.Full)
	return nil
}

// Commit records that a revision is on a majority. This isn't written to disk: if it is lost, finding out again only takes another request.
func (a *Acceptor) Commit(key string, revision Revision) {
	e := a.entryOf(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Committed.Less(revision) {
		e.record.Committed = revision
		a.onChange(key, e.record, nil, false)
	}
}
