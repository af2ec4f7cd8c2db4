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
	shardCount       = 64
	maxDeltaFiles    = 64
	writeLockTimeout = time.Second
)

// Acceptor is what one core's disk has promised and accepted (§2.2).
type Acceptor struct {
	disk disk.Disk
	// News is told of each change of a key, under the key's lock.
	onChange func(key string, at Record, change Fields, isFull bool)
	shards   [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	keys map[string]*entry
}

// entry is one key. Whoever writes to the disk has the write lock; mu is held only to read or set the record, never over a disk's time.
type entry struct {
	writeLock    chan struct{}
	files        []string // the newest whole on disk and the deltas on it, oldest first; with the write lock
	deltaBytes   int      // bytes of deltas since the last whole; with the write lock
	promiseFiles []string // promise files on disk; with the write lock
	obsolete     []string // files that do not count, and are removed before anything else is written; with the write lock
	folderSynced bool     // the files above are sure to survive a loss of power; with the write lock
	mu           sync.Mutex
	record       Record
	lostRevision Revision // a version that was accepted here and whose file is torn; past once record.Revision is not below it
}

// isDamaged says whether this disk has forgotten what it said yes to: until it has caught up it makes no promise for the key.
func (e *entry) isDamaged() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Revision.Less(e.lostRevision)
}

func newEntry() *entry { return &entry{writeLock: make(chan struct{}, 1), folderSynced: true} }

// lockWrites takes the write lock; a disk that stalls for too long rejects those behind.
func (e *entry) lockWrites() error {
	timer := time.NewTimer(writeLockTimeout)
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
	Promised  uint64   `json:"promised"`
	Revision  Revision `json:"stamp"`
	Committed Revision `json:"settled"`
	Fields    Fields   `json:"fields,omitempty"`
}

// IsCommitted says whether the accepted content is known to be on a majority.
func (r Record) IsCommitted() bool { return IsCommitted(r.Revision, r.Committed) }

// IsCommitted says whether content is known to be on a majority from what is known to be settled. A revision that is settled under an earlier epoch
// with the same version settles it too: whoever wrote under the later epoch had adopted that version, and wrote it again unchanged. A revision
// that is settled under a later epoch says nothing of content that lost to it.
func IsCommitted(revision, committed Revision) bool {
	return revision == Revision{} || committed.Epoch <= revision.Epoch && committed.Version >= revision.Version
}

// AcceptorOptions are an acceptor's disk and who is told of what it does.
type AcceptorOptions struct {
	Disk     disk.Disk
	OnChange func(key string, at Record, change Fields, isFull bool)
	// OnSkipped is told of files left out when loading.
	OnSkipped func(folder, file string, err error)
}

// OpenAcceptor loads all keys from the disk (§2.5).
func OpenAcceptor(options AcceptorOptions) (*Acceptor, error) {
	k := &Acceptor{disk: options.Disk, onChange: options.OnChange}
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
			options.OnSkipped(folder, "", err)
			continue
		}
		e, err := loadEntry(k.disk, folder, options.OnSkipped)
		if err != nil {
			return nil, err
		}
		k.shardOf(key).keys[key] = e
		k.onChange(key, e.record, e.record.Fields, true)
	}
	return k, nil
}

func (k *Acceptor) shardOf(key string) *shard { return &k.shards[Weight(key, "")%shardCount] }

func (k *Acceptor) entryOf(key string) *entry {
	s := k.shardOf(key)
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
	e := k.entryOf(key)
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

// Uncommitted says whether the key has content not known to be on a majority.
func (k *Acceptor) Uncommitted(key string) bool {
	return !k.entryOf(key).read().IsCommitted()
}

// Prepare swears off all epochs below; the answer bears the fields only if the asker lacks them.
func (k *Acceptor) Prepare(key string, epoch uint64, has Revision) (Record, error) {
	e := k.entryOf(key)
	if err := e.lockWrites(); err != nil {
		return Record{}, err
	}
	defer e.unlockWrites()
	if e.isDamaged() {
		return Record{}, apierror.New(apierror.Torn, "what was accepted for %s is lost here until it is caught up", key)
	}
	now := e.read()
	if epoch <= now.Promised {
		return Record{}, newSupersededError(epoch, now)
	}
	folder, name := folderName(key), promiseFileName(epoch)
	if err := k.writeFile(e, folder, name, []byte("{}")); err != nil {
		return Record{}, err
	}
	k.removeFiles(e, folder, e.promiseFiles)
	e.promiseFiles = []string{name}
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
	e := k.entryOf(key)
	if e.isDamaged() {
		return apierror.New(apierror.Torn, "what was accepted for %s is lost here until it is caught up", key)
	}
	if now := e.read(); epoch < now.Promised {
		return newSupersededError(epoch, now)
	}
	return nil
}

// newSupersededError tells the asker, in At, which epoch it has to exceed.
func newSupersededError(epoch uint64, now Record) error {
	f := apierror.New(apierror.Superseded, "epoch %d, promised %d", epoch, now.Promised)
	f.At = int(now.Promised)
	return f
}

// Accept takes a change if no higher epoch was promised and its base is here, or it is whole.
func (k *Acceptor) Accept(change Change) error {
	e := k.entryOf(change.Key)
	if err := e.lockWrites(); err != nil {
		return err
	}
	defer e.unlockWrites()
	now := e.read()
	switch {
	case change.Next.Epoch < now.Promised:
		return newSupersededError(change.Next.Epoch, now)
	case !now.Revision.Less(change.Next) && now.Revision.Epoch == change.Next.Epoch:
		return k.syncFolder(e, folderName(change.Key)) // a late copy: what is here is the same, or came later under the same epoch
	case !now.Revision.Less(change.Next):
		return newSupersededError(change.Next.Epoch, now)
	case !change.Full && (change.Base != now.Revision || e.isDamaged()):
		return apierror.New(apierror.Behind, "has %v, base %v", now.Revision, change.Base)
	}
	return k.store(e, change)
}

// Adopt takes settled content learned from another core (§2.4).
func (k *Acceptor) Adopt(key string, revision Revision, fields Fields) error {
	e := k.entryOf(key)
	if err := e.lockWrites(); err != nil {
		return err
	}
	defer e.unlockWrites()
	if !e.read().Revision.Less(revision) {
		k.Commit(key, revision)
		return nil
	}
	return k.store(e, Change{Key: key, Next: revision, Full: true, Fields: fields, Committed: revision})
}

// store writes a change and then shows it; the caller has the write lock, so the fields do not move meanwhile.
func (k *Acceptor) store(e *entry, change Change) error {
	old := e.read().Fields
	deltaBytes, written := e.deltaBytes+sizeOf(change.Fields), change
	if !change.Full && (len(e.files) == 0 || len(e.files) >= maxDeltaFiles || deltaBytes > sizeOf(old)+4096) {
		written.Full, written.Fields = true, old.Clone()
		written.Fields.Apply(change.Fields)
	}
	data, err := json.Marshal(written)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode change")
	}
	folder := folderName(change.Key)
	if err := k.writeFile(e, folder, versionFileName(change.Next), data); err != nil {
		return err
	}
	if written.Full {
		k.removeFiles(e, folder, e.files)
		e.files, deltaBytes = nil, 0
	}
	e.deltaBytes = deltaBytes
	e.files = append(e.files, versionFileName(change.Next))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Fields == nil || change.Full {
		e.record.Fields = Fields{}
	}
	e.record.Fields.Apply(change.Fields)
	e.record.Revision = change.Next
	e.record.Promised = max(e.record.Promised, change.Next.Epoch)
	if e.record.Committed.Less(change.Committed) {
		e.record.Committed = change.Committed
	}
	k.onChange(change.Key, e.record, change.Fields, change.Full)
	return nil
}

// writeFile writes a file of a key, after what does not count is gone: a version that was refused because its write failed may be on the disk, and
// a promise or a version that is answered later must not be followed by it after a restart. The caller has the write lock.
func (k *Acceptor) writeFile(e *entry, folder, name string, data []byte) error {
	// What was loaded outlasts both the files that it outdates and those that are built on it.
	if err := k.syncFolder(e, folder); err != nil {
		return err
	}
	for _, name := range e.obsolete {
		if err := k.disk.Drop(folder, name); err != nil {
			return err
		}
	}
	err := k.disk.Put(folder, name, data)
	e.folderSynced = err == nil
	switch {
	case err == nil:
		e.obsolete = nil
	case !e.isDamaged(): // else the name may be that of the torn file, which has to stay
		e.obsolete = append(e.obsolete, name)
	}
	return err
}

// syncFolder makes sure that what was loaded, or written by a call that failed, survives a loss of power. The caller has the write lock.
func (k *Acceptor) syncFolder(e *entry, folder string) error {
	if e.folderSynced {
		return nil
	}
	err := k.disk.Sync(folder)
	e.folderSynced = err == nil
	return err
}

// removeFiles removes files that something newer on disk outdates; those that it cannot remove are tried again with the next write.
func (k *Acceptor) removeFiles(e *entry, folder string, names []string) {
	for _, name := range names {
		if k.disk.Drop(folder, name) != nil {
			e.obsolete = append(e.obsolete, name)
		}
	}
}

func sizeOf(fields Fields) int {
	sum := 0
	for name, value := range fields {
		sum += len(name) + len(value) + 8
	}
	return sum
}

// Commit notes that a revision is on a majority. It is not written: a lost note only costs a question.
func (k *Acceptor) Commit(key string, revision Revision) {
	e := k.entryOf(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Committed.Less(revision) {
		e.record.Committed = revision
		k.onChange(key, e.record, nil, false)
	}
}

// IsDamaged says whether some key's accepted version is lost to a torn file.
func (k *Acceptor) IsDamaged() bool {
	for _, key := range k.Keys() {
		if k.entryOf(key).isDamaged() {
			return true
		}
	}
	return false
}

// Revision gives the accepted revision of a key.
func (k *Acceptor) Revision(key string) Revision {
	return k.entryOf(key).read().Revision
}

// Promised gives the highest epoch promised for a key.
func (k *Acceptor) Promised(key string) uint64 {
	return k.entryOf(key).read().Promised
}
