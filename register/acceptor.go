package register

import (
	"encoding/json"
	"net/url"
	"sort"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/disk"
)

const (
	shardCount    = 64
	maxDeltas     = 64
	writeLockWait = time.Second
)

// Acceptor is what one core's disk has promised and accepted (§2.2).
type Acceptor struct {
	disk disk.Disk
	// News is told of each change of a key, under the key's lock.
	news   func(key string, at Record, change Fields, isFull bool)
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	keys map[string]*entry
}

// entry is one key. Whoever writes to the disk has the write lock; mu is held only to read or set the record, never over a disk's time.
type entry struct {
	writeLock chan struct{}
	files     []string // the newest whole on disk and the deltas on it, oldest first; with the write lock
	weight    int      // bytes of deltas since the last whole; with the write lock
	promises  []string // promise files on disk; with the write lock
	stale     []string // files that do not count, and are removed before anything else is written; with the write lock
	synced    bool     // the files above are sure to survive a loss of power; with the write lock
	mu        sync.Mutex
	record    Record
	lost      Revision // a version that was accepted here and whose file is torn; past once record.Revision is not below it
}

// isDamaged says whether this disk has forgotten what it said yes to: until it has caught up it makes no promise for the key.
func (e *entry) isDamaged() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Revision.Less(e.lost)
}

func newEntry() *entry { return &entry{writeLock: make(chan struct{}, 1), synced: true} }

// lockWrites takes the write lock; a disk that stalls for too long rejects those behind.
func (e *entry) lockWrites() error {
	timer := time.NewTimer(writeLockWait)
	defer timer.Stop()
	select {
	case e.writeLock <- struct{}{}:
		return nil
	case <-timer.C:
		return apierror.New(apierror.DiskFailed, "an earlier write stalls")
	}
}

func (e *entry) unlockWrites() { <-e.writeLock }

func (e *entry) read() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record
}

// Record is an acceptor's state of one key.
type Record struct {
	Promised uint64   `json:"promised"`
	Revision Revision `json:"stamp"`
	Settled  Revision `json:"settled"`
	Fields   Fields   `json:"fields,omitempty"`
}

// IsSettled says whether the accepted content is known to be on a majority.
func (r Record) IsSettled() bool { return IsSettled(r.Revision, r.Settled) }

// IsSettled says whether content is known to be on a majority from what is known to be settled. A revision that is settled under an earlier epoch
// with the same version settles it too: whoever wrote under the later epoch had adopted that version, and wrote it again unchanged. A revision
// that is settled under a later epoch says nothing of content that lost to it.
func IsSettled(revision, settled Revision) bool {
	return revision == Revision{} || settled.Epoch <= revision.Epoch && settled.Version >= revision.Version
}

// AcceptorOptions are an acceptor's disk and who is told of what it does.
type AcceptorOptions struct {
	Disk disk.Disk
	News func(key string, at Record, change Fields, isFull bool)
	// Note is told of files left out when loading.
	Note func(folder, file string, err error)
}

// OpenAcceptor loads all keys from the disk (§2.5).
func OpenAcceptor(options AcceptorOptions) (*Acceptor, error) {
	k := &Acceptor{disk: options.Disk, news: options.News}
	for i := range k.shards {
		k.shards[i].keys = map[string]*entry{}
	}
	folders, err := k.disk.List("")
	if err != nil {
		return nil, err
	}
	for _, folder := range folders {
		if folder[0] != 'k' {
			continue
		}
		key, err := url.QueryUnescape(folder[1:])
		if err != nil {
			options.Note(folder, "", err)
			continue
		}
		e, err := loadEntry(k.disk, folder, options.Note)
		if err != nil {
			return nil, err
		}
		k.shard(key).keys[key] = e
		k.news(key, e.record, e.record.Fields, true)
	}
	return k, nil
}

func (k *Acceptor) shard(key string) *shard { return &k.shards[Weight(key, "")%shardCount] }

func (k *Acceptor) entry(key string) *entry {
	s := k.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil {
		e = newEntry()
		s.keys[key] = e
	}
	return e
}

// Read gives a copy of a key's record.
func (k *Acceptor) Read(key string) Record {
	e := k.entry(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Fields = record.Fields.Clone()
	return record
}

// Keys lists the keys that have content or an unsettled change.
func (k *Acceptor) Keys() []string {
	var keys []string
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for key := range s.keys {
			keys = append(keys, key)
		}
		s.mu.Unlock()
	}
	sort.Strings(keys)
	return keys
}

// Unsettled says whether the key has content not known to be on a majority.
func (k *Acceptor) Unsettled(key string) bool {
	return !k.entry(key).read().IsSettled()
}

// Promise swears off all epochs below; the answer bears the fields only if the asker lacks them.
func (k *Acceptor) Promise(key string, epoch uint64, has Revision) (Record, error) {
	e := k.entry(key)
	if err := e.lockWrites(); err != nil {
		return Record{}, err
	}
	defer e.unlockWrites()
	if e.isDamaged() {
		return Record{}, apierror.New(apierror.Torn, "what was accepted for %s is lost here until it is caught up", key)
	}
	now := e.read()
	if epoch <= now.Promised {
		return Record{}, superseded(epoch, now)
	}
	folder, name := folderOf(key), promiseName(epoch)
	if err := k.put(e, folder, name, []byte("{}")); err != nil {
		return Record{}, err
	}
	k.drop(e, folder, e.promises)
	e.promises = []string{name}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Promised = epoch
	answer := e.record
	if answer.Fields = nil; has.Less(answer.Revision) {
		answer.Fields = e.record.Fields.Clone()
	}
	return answer, nil
}

// Confirm says whether an epoch still stands here: no higher one was promised. Nothing is written.
func (k *Acceptor) Confirm(key string, epoch uint64) error {
	e := k.entry(key)
	if e.isDamaged() {
		return apierror.New(apierror.Torn, "what was accepted for %s is lost here until it is caught up", key)
	}
	if now := e.read(); epoch < now.Promised {
		return superseded(epoch, now)
	}
	return nil
}

// superseded tells the asker, in At, which epoch it has to exceed.
func superseded(epoch uint64, now Record) error {
	f := apierror.New(apierror.Superseded, "epoch %d, promised %d", epoch, now.Promised)
	f.At = int(now.Promised)
	return f
}

// Accept takes a change if no higher epoch was promised and its base is here, or it is whole.
func (k *Acceptor) Accept(change Change) error {
	e := k.entry(change.Key)
	if err := e.lockWrites(); err != nil {
		return err
	}
	defer e.unlockWrites()
	now := e.read()
	switch {
	case change.Next.Epoch < now.Promised:
		return superseded(change.Next.Epoch, now)
	case !now.Revision.Less(change.Next) && now.Revision.Epoch == change.Next.Epoch:
		return k.sync(e, folderOf(change.Key)) // a late copy: what is here is the same, or came later under the same epoch
	case !now.Revision.Less(change.Next):
		return superseded(change.Next.Epoch, now)
	case !change.Full && (change.Base != now.Revision || e.isDamaged()):
		return apierror.New(apierror.Behind, "has %v, base %v", now.Revision, change.Base)
	}
	return k.store(e, change)
}

// Adopt takes settled content learned from another core (§2.4).
func (k *Acceptor) Adopt(key string, revision Revision, fields Fields) error {
	e := k.entry(key)
	if err := e.lockWrites(); err != nil {
		return err
	}
	defer e.unlockWrites()
	if !e.read().Revision.Less(revision) {
		k.Settle(key, revision)
		return nil
	}
	return k.store(e, Change{Key: key, Next: revision, Full: true, Fields: fields, Settled: revision})
}

// store writes a change and then shows it; the caller has the write lock, so the fields do not move meanwhile.
func (k *Acceptor) store(e *entry, change Change) error {
	old := e.read().Fields
	weight, written := e.weight+weigh(change.Fields), change
	if !change.Full && (len(e.files) == 0 || len(e.files) >= maxDeltas || weight > weigh(old)+4096) {
		written.Full, written.Fields = true, old.Clone()
		written.Fields.Apply(change.Fields)
	}
	data, err := json.Marshal(written)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode change")
	}
	folder := folderOf(change.Key)
	if err := k.put(e, folder, nameOf(change.Next), data); err != nil {
		return err
	}
	if written.Full {
		k.drop(e, folder, e.files)
		e.files, weight = nil, 0
	}
	e.weight = weight
	e.files = append(e.files, nameOf(change.Next))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Fields == nil || change.Full {
		e.record.Fields = Fields{}
	}
	e.record.Fields.Apply(change.Fields)
	e.record.Revision = change.Next
	e.record.Promised = max(e.record.Promised, change.Next.Epoch)
	if e.record.Settled.Less(change.Settled) {
		e.record.Settled = change.Settled
	}
	k.news(change.Key, e.record, change.Fields, change.Full)
	return nil
}

// put writes a file of a key, after what does not count is gone: a version that was refused because its write failed may be on the disk, and
// a promise or a version that is answered later must not be followed by it after a restart. The caller has the write lock.
func (k *Acceptor) put(e *entry, folder, name string, data []byte) error {
	// What was loaded outlasts both the files that it outdates and those that are built on it.
	if err := k.sync(e, folder); err != nil {
		return err
	}
	for _, name := range e.stale {
		if err := k.disk.Drop(folder, name); err != nil {
			return err
		}
	}
	err := k.disk.Put(folder, name, data)
	e.synced = err == nil
	switch {
	case err == nil:
		e.stale = nil
	case !e.isDamaged(): // else the name may be that of the torn file, which has to stay
		e.stale = append(e.stale, name)
	}
	return err
}

// sync makes sure that what was loaded, or written by a call that failed, survives a loss of power. The caller has the write lock.
func (k *Acceptor) sync(e *entry, folder string) error {
	if e.synced {
		return nil
	}
	err := k.disk.Sync(folder)
	e.synced = err == nil
	return err
}

// drop removes files that something newer on disk outdates; those that it cannot remove are tried again with the next write.
func (k *Acceptor) drop(e *entry, folder string, names []string) {
	for _, name := range names {
		if k.disk.Drop(folder, name) != nil {
			e.stale = append(e.stale, name)
		}
	}
}

func weigh(fields Fields) int {
	sum := 0
	for name, value := range fields {
		sum += len(name) + len(value) + 8
	}
	return sum
}

// Settle notes that a revision is on a majority. It is not written: a lost note only costs a question.
func (k *Acceptor) Settle(key string, revision Revision) {
	e := k.entry(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Settled.Less(revision) {
		e.record.Settled = revision
		k.news(key, e.record, nil, false)
	}
}

// IsDamaged says whether some key's accepted version is lost to a torn file.
func (k *Acceptor) IsDamaged() bool {
	for _, key := range k.Keys() {
		if k.entry(key).isDamaged() {
			return true
		}
	}
	return false
}

// Revision gives the accepted revision of a key.
func (k *Acceptor) Revision(key string) Revision {
	return k.entry(key).read().Revision
}

// Promised gives the highest epoch promised for a key.
func (k *Acceptor) Promised(key string) uint64 {
	return k.entry(key).read().Promised
}
