package register

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"

	"asterridge/apierror"
	"asterridge/disk"
)

// Each register has a folder on the disk. The folder contains one file for each accepted version, with a delta or the full content, and one
// file for the promised epoch (docs/design.md §2.5).
const (
	folderPrefix      = 'k'
	versionFileFormat = "v.%016x.%016x" // epoch, version
	promiseFileFormat = "p.%016x"       // epoch
)

func folderName(key string) string { return string(folderPrefix) + url.QueryEscape(key) }

func versionFileName(r Revision) string { return fmt.Sprintf(versionFileFormat, r.Epoch, r.Version) }

func promiseFileName(epoch uint64) string { return fmt.Sprintf(promiseFileFormat, epoch) }

func parseVersionFileName(name string) (revision Revision, ok bool) {
	_, err := fmt.Sscanf(name, versionFileFormat, &revision.Epoch, &revision.Version)
	return revision, err == nil && name == versionFileName(revision)
}

func parsePromiseFileName(name string) (epoch uint64, ok bool) {
	_, err := fmt.Sscanf(name, promiseFileFormat, &epoch)
	return epoch, err == nil && name == promiseFileName(epoch)
}

// skipFunc is called for each file that is skipped while loading.
type skipFunc func(folder, file string, err error)

// folderContent is the decoded content of one register's folder.
type folderContent struct {
	changes map[Revision]Change
	// torn are the revisions of version files that can't be read, or whose base is missing.
	torn     []Revision
	promises []uint64
}

// loadEntry loads the highest version that consists of a full content and an unbroken chain of deltas. Lower versions outside the chain are
// outdated, reappeared after a power failure, or were rejected. A version above the chain was accepted and is lost.
func loadEntry(d disk.Disk, folder string, onSkipped skipFunc) (*entry, error) {
	names, err := d.List(folder)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	content := readFolder(d, folder, names, onSkipped)
	e := newEntry()
	e.folderSynced = false // an earlier process may have ended between a rename and the sync of the folder
	for _, change := range content.highestChain(folder, onSkipped) {
		e.load(change)
	}
	for _, revision := range content.torn {
		if e.lostRevision.Less(revision) && e.record.Revision.Less(revision) {
			e.lostRevision = revision
		}
	}
	e.record.Promised = max(e.record.Revision.Epoch, e.lostRevision.Epoch)
	for _, epoch := range content.promises {
		e.record.Promised = max(e.record.Promised, epoch)
	}
	e.classifyFiles(content)
	return e, nil
}

// readFolder reads a register's files. It reports those that are torn or whose name it doesn't know.
func readFolder(d disk.Disk, folder string, names []string, onSkipped skipFunc) folderContent {
	content := folderContent{changes: map[Revision]Change{}}
	for _, name := range names {
		if epoch, ok := parsePromiseFileName(name); ok {
			content.promises = append(content.promises, epoch)
			continue
		}
		change, err := readChange(d, folder, name)
		if err == nil {
			content.changes[change.Next] = change
			continue
		}
		onSkipped(folder, name, err)
		if revision, ok := parseVersionFileName(name); ok {
			content.torn = append(content.torn, revision)
		}
	}
	return content
}

func readChange(d disk.Disk, folder, name string) (change Change, err error) {
	data, err := d.Get(folder, name)
	if err != nil {
		return change, err
	}
	if err := json.Unmarshal(data, &change); err != nil {
		return change, apierror.Wrap(err, apierror.Torn, "decode change")
	}
	if name != versionFileName(change.Next) {
		return change, apierror.New(apierror.Torn, "file name does not match the revision in the file")
	}
	return change, nil
}

// highestChain returns the changes that make up the highest complete version. Higher versions whose base is missing are added to torn.
func (content *folderContent) highestChain(folder string, onSkipped skipFunc) []Change {
	revisions := make([]Revision, 0, len(content.changes))
	for revision := range content.changes {
		revisions = append(revisions, revision)
	}
	slices.SortFunc(revisions, func(a, b Revision) int { return compare(b, a) })
	for _, revision := range revisions {
		if chain := deltaChain(content.changes, revision); chain != nil {
			return chain
		}
		onSkipped(folder, versionFileName(revision), apierror.New(apierror.Torn, "the base of the delta is missing"))
		content.torn = append(content.torn, revision)
	}
	return nil
}

// deltaChain returns the changes that make up a version, the full content first, or nil if one of them is missing. A revision has only one
// content, so it doesn't matter when or by which owner the files were written.
func deltaChain(changes map[Revision]Change, revision Revision) (chain []Change) {
	for {
		change, ok := changes[revision]
		if !ok || !change.Full && !change.Base.Less(change.Next) {
			return nil
		}
		chain = append(chain, change)
		if change.Full || change.Base == (Revision{}) {
			slices.Reverse(chain)
			return chain
		}
		revision = change.Base
	}
}

// load applies a change that was read from the disk.
func (e *entry) load(change Change) {
	e.apply(change)
	e.files = append(e.files, versionFileName(change.Next))
	if !change.Full {
		e.deltaBytes += change.Fields.Size()
	}
}

// classifyFiles determines which files are obsolete. While the register is damaged, all files are kept.
func (e *entry) classifyFiles(content folderContent) {
	for _, epoch := range content.promises {
		if epoch == e.record.Promised || e.isDamaged() {
			e.promiseFiles = append(e.promiseFiles, promiseFileName(epoch))
		} else {
			e.obsolete = append(e.obsolete, promiseFileName(epoch))
		}
	}
	if e.isDamaged() {
		return
	}
	for revision := range content.changes {
		if !slices.Contains(e.files, versionFileName(revision)) {
			e.obsolete = append(e.obsolete, versionFileName(revision))
		}
	}
	for _, revision := range content.torn {
		if name := versionFileName(revision); !slices.Contains(e.obsolete, name) {
			e.obsolete = append(e.obsolete, name)
		}
	}
	slices.Sort(e.obsolete) // map iteration order is random; the order of file operations has to be reproducible
}
