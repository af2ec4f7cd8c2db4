package register

import (
	"encoding/json"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/disk"
)

const (
	// maxDeltaFiles is how many deltas follow a full content before it is written anew; so it is when they outweigh it by deltaSlack bytes.
	maxDeltaFiles = 64
	deltaSlack    = 4096
	// writeLockTimeout is how long a write waits for the one before it; a disk that stalls for longer rejects those behind.
	writeLockTimeout = time.Second
)

// entry is one register on the disk. Whoever writes to the disk holds the write lock. mu is held only to read or set the record, never while
// the disk works.
type entry struct {
	writeLock chan struct{}
	// With the write lock:
	// files are the newest full content and the deltas on it, oldest first; deltaBytes is the size of these deltas.
	files      []string
	deltaBytes int
	// promiseFiles are the promises on the disk.
	promiseFiles []string
	// obsolete files do not count, and are removed before anything else is written.
	obsolete []string
	// folderSynced: the files above survive a loss of power.
	folderSynced bool

	mu     sync.Mutex // guards what follows
	record Record
	// lostRevision was accepted here, and its file is torn; it is past once record.Revision is not below it.
	lostRevision Revision
}

func newEntry() *entry { return &entry{writeLock: make(chan struct{}, 1), folderSynced: true} }

// isDamaged reports whether this disk has forgotten what it accepted: until it has caught up it makes no promise for the register.
func (e *entry) isDamaged() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Revision.Less(e.lostRevision)
}

// read gives the record; its fields must not be altered.
func (e *entry) read() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record
}

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

// storePromise writes a promise and removes the ones before it. The caller has the write lock.
func (e *entry) storePromise(d disk.Disk, folder string, epoch uint64) error {
	name := promiseFileName(epoch)
	if err := e.writeFile(d, folder, name, []byte("{}")); err != nil {
		return err
	}
	e.removeFiles(d, folder, e.promiseFiles)
	e.promiseFiles = []string{name}
	return nil
}

// storeChange writes a change, as a full content where deltas have become too many or too large. The caller has the write lock, so the fields
// do not move meanwhile.
func (e *entry) storeChange(d disk.Disk, folder string, change Change) error {
	present := e.read().Fields
	deltaBytes, written := e.deltaBytes+change.Fields.Size(), change
	if !change.Full && (len(e.files) == 0 || len(e.files) >= maxDeltaFiles || deltaBytes > present.Size()+deltaSlack) {
		written.Full, written.Fields = true, present.Clone()
		written.Fields.Apply(change.Fields)
	}
	data, err := json.Marshal(written)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode change")
	}
	if err := e.writeFile(d, folder, versionFileName(change.Next), data); err != nil {
		return err
	}
	if written.Full {
		e.removeFiles(d, folder, e.files)
		e.files, deltaBytes = nil, 0
	}
	e.deltaBytes = deltaBytes
	e.files = append(e.files, versionFileName(change.Next))
	return nil
}

// apply shows a change that is on the disk. mu is held, or the entry is still being loaded.
func (e *entry) apply(change Change) {
	if e.record.Fields == nil || change.Full {
		e.record.Fields = Fields{}
	}
	e.record.Fields.Apply(change.Fields)
	e.record.Revision = change.Next
	e.record.Promised = max(e.record.Promised, change.Next.Epoch)
	if e.record.Committed.Less(change.Committed) {
		e.record.Committed = change.Committed
	}
}

// writeFile writes a file of the register, after obsolete ones are gone: a version that was refused because its write failed may be on the
// disk, and a promise or a version that is answered later must not be followed by it after a restart. The caller has the write lock.
func (e *entry) writeFile(d disk.Disk, folder, name string, data []byte) error {
	// What was loaded outlasts both the files that it outdates and those that are built on it.
	if err := e.syncFolder(d, folder); err != nil {
		return err
	}
	for _, obsolete := range e.obsolete {
		if err := d.Drop(folder, obsolete); err != nil {
			return err
		}
	}
	err := d.Put(folder, name, data)
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
func (e *entry) syncFolder(d disk.Disk, folder string) error {
	if e.folderSynced {
		return nil
	}
	err := d.Sync(folder)
	e.folderSynced = err == nil
	return err
}

// removeFiles removes files that something newer on the disk outdates. Those that cannot be removed are tried again with the next write. The
// caller has the write lock.
func (e *entry) removeFiles(d disk.Disk, folder string, names []string) {
	for _, name := range names {
		if d.Drop(folder, name) != nil {
			e.obsolete = append(e.obsolete, name)
		}
	}
}
