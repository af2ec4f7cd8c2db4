package register

import (
	"encoding/json"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/disk"
)

const (
	// maxDeltaFiles is the number of version files, the full content and its deltas, after which the full content is written again. That
	// also happens when the deltas are larger than the content by more than deltaSlack bytes.
	maxDeltaFiles = 64
	deltaSlack    = 4096
	// writeLockTimeout is how long a write waits for an earlier write to the same register. If the disk stalls for longer, the waiting write
	// fails.
	writeLockTimeout = time.Second
)

// entry is one register of an acceptor. The write lock is held during a write to disk. mu is held only to read or update the record, never
// during a disk operation.
type entry struct {
	writeLock chan struct{}
	// The fields up to folderSynced are guarded by writeLock.
	//
	// files are the newest full content and the deltas to it, oldest first. deltaBytes is the size of these deltas.
	files      []string
	deltaBytes int
	// promiseFiles are the files of promises on the disk.
	promiseFiles []string
	// obsolete are files without effect on the register's state. They are removed before anything else is written.
	obsolete []string
	// folderSynced reports whether the files above survive a power failure.
	folderSynced bool

	mu     sync.Mutex // guards what follows
	record Record
	// lostRevision was accepted here, but its file is torn. It no longer matters once record.Revision is at least as new.
	lostRevision Revision
}

func newEntry() *entry { return &entry{writeLock: make(chan struct{}, 1), folderSynced: true} }

// isDamaged reports whether the disk has lost a revision that it accepted. Until it has caught up it makes no promise for the register.
func (e *entry) isDamaged() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Revision.Less(e.lostRevision)
}

// read returns the record, whose fields must not be modified.
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
		return apierror.New(apierror.DiskFailed, "timed out waiting for an earlier write to the register")
	}
}

func (e *entry) unlockWrites() { <-e.writeLock }

// storePromise writes a promise and removes the previous ones. The caller holds the write lock.
func (e *entry) storePromise(d disk.Disk, folder string, epoch uint64) error {
	name := promiseFileName(epoch)
	if err := e.writeFile(d, folder, name, []byte("{}")); err != nil {
		return err
	}
	e.removeFiles(d, folder, e.promiseFiles)
	e.promiseFiles = []string{name}
	return nil
}

// storeChange writes a change, as the full content if the deltas have become too many or too large. The caller holds the write lock, so the
// fields don't change meanwhile.
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

// apply applies a change that is on the disk to the record. The caller holds mu, or is still loading the entry.
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

// writeFile writes a file of the register after removing the obsolete ones. A version that was rejected because its write failed may be on
// the disk nevertheless. After a restart it must not take effect on top of a promise or a version that was acknowledged later. The caller
// holds the write lock.
func (e *entry) writeFile(d disk.Disk, folder, name string, data []byte) error {
	// The loaded files have to be durable before the files that they replace are removed, and before a file based on them is written.
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
	case !e.isDamaged(): // otherwise the name may be that of the torn file, which has to stay
		e.obsolete = append(e.obsolete, name)
	}
	return err
}

// syncFolder makes sure that files which were loaded, or written by a failed call, survive a power failure. The caller holds the write lock.
func (e *entry) syncFolder(d disk.Disk, folder string) error {
	if e.folderSynced {
		return nil
	}
	err := d.Sync(folder)
	e.folderSynced = err == nil
	return err
}

// removeFiles removes files that are superseded by newer ones on the disk. Failed removals are retried with the next write. The caller holds
// the write lock.
func (e *entry) removeFiles(d disk.Disk, folder string, names []string) {
	for _, name := range names {
		if d.Drop(folder, name) != nil {
			e.obsolete = append(e.obsolete, name)
		}
	}
}
