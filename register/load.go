package register

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"

	"asterridge/apierror"
	"asterridge/disk"
)

// folderName is a key's folder.
func folderName(key string) string { return "k" + url.QueryEscape(key) }

// versionFileName is a version's file.
func versionFileName(s Revision) string { return fmt.Sprintf("v.%016x.%016x", s.Epoch, s.Version) }

// promiseFileName is a promise's file.
func promiseFileName(epoch uint64) string { return fmt.Sprintf("p.%016x", epoch) }

// parseVersionFileName reads a version's revision from its file's name.
func parseVersionFileName(name string) (revision Revision, version bool) {
	_, err := fmt.Sscanf(name, "v.%016x.%016x", &revision.Epoch, &revision.Version)
	return revision, err == nil && name == versionFileName(revision)
}

// folderContent is what the files of one key's folder say.
type folderContent struct {
	changes  map[Revision]Change
	torn     []Revision // files that bear a version and cannot be read
	promises []uint64
}

// loadEntry takes the highest version that can be made up from a whole and an unbroken chain of deltas (§2.5). Files that are no part of it
// and lie below it are outdated, came back after a loss of power, or were refused; what lies above it was accepted and is lost.
func loadEntry(d disk.Disk, folder string, onSkipped func(folder, file string, err error)) (*entry, error) {
	names, err := d.List(folder)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	content := readFolder(d, folder, names, onSkipped)
	e := newEntry()
	e.folderSynced = false // a process before this one may have died between a rename and the sync of the folder
	revisions := make([]Revision, 0, len(content.changes))
	for revision := range content.changes {
		revisions = append(revisions, revision)
	}
	slices.SortFunc(revisions, func(a, b Revision) int { return compare(b, a) })
	var chain []Change
	for _, revision := range revisions {
		if chain = deltaChain(content.changes, revision); chain != nil {
			break
		}
		onSkipped(folder, versionFileName(revision), apierror.New(apierror.Torn, "its base is not there"))
		content.torn = append(content.torn, revision)
	}
	for _, change := range chain {
		e.apply(change)
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

// readFolder reads a key's files, and names those that are torn or foreign.
func readFolder(d disk.Disk, folder string, names []string, onSkipped func(folder, file string, err error)) folderContent {
	content := folderContent{changes: map[Revision]Change{}}
	for _, name := range names {
		var epoch uint64
		if n, _ := fmt.Sscanf(name, "p.%016x", &epoch); n == 1 && name == promiseFileName(epoch) {
			content.promises = append(content.promises, epoch)
			continue
		}
		change, err := readChange(d, folder, name)
		if err == nil {
			content.changes[change.Next] = change
			continue
		}
		onSkipped(folder, name, err)
		if revision, version := parseVersionFileName(name); version {
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
		return change, apierror.New(apierror.Torn, "name and content differ")
	}
	return change, nil
}

// deltaChain gives the changes that make up a version, a whole first, or nil if one of them is missing. A revision has one content only, so it does
// not matter when or by whom the files were written.
func deltaChain(changes map[Revision]Change, revision Revision) []Change {
	var chain []Change
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

// apply applies a change that was read from the disk.
func (e *entry) apply(change Change) {
	if change.Full || e.record.Fields == nil {
		e.record.Fields = Fields{}
	}
	e.record.Fields.Apply(change.Fields)
	e.record.Revision = change.Next
	if e.record.Committed.Less(change.Committed) {
		e.record.Committed = change.Committed
	}
	e.files = append(e.files, versionFileName(change.Next))
	if !change.Full {
		e.deltaBytes += sizeOf(change.Fields)
	}
}

// classifyFiles tells the files that count from those that do not. While the key is damaged all are kept.
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
	slices.Sort(e.obsolete) // a map's order is another each time
}

func compare(a, b Revision) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}
