package sim

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"

	"asterridge/disk"
)

// Files is a file system in memory that counts its operations, can fail any of them, and can lose power between any two. After a loss of
// power each write and each name that was not synced is independently kept, lost or torn; a name that was changed several times may have
// any of its states.
type Files struct {
	mu         sync.Mutex
	root       *node
	operations int
	stop       int // from this operation on, all fail until the next Restart or PowerLoss; 0: none
	stopped    bool
	fault      Fault
	temps      int
}

// Fault makes operations fail while the process goes on.
type Fault struct {
	From, To int  // the operations that fail, counted as Operations does; both included
	Done     bool // they are done and report an error all the same
	Writing  bool // only those that need space fail: made files and folders, and writes
}

var (
	errStopped = errors.New("the process is dead")
	errFaulty  = errors.New("input/output error")
)

// node is a file, or a folder if it has names.
type node struct {
	names  map[string][]*node // the states of a name since the last sync: the first is durable, the last is seen; nil: not there
	synced []byte
	writes [][]byte // since the last sync
}

// newFolderNode returns an empty folder.
func newFolderNode() *node { return &node{names: map[string][]*node{}} }

// lookup returns the node under a name.
func (n *node) lookup(name string) *node {
	states := n.names[name]
	if len(states) == 0 {
		return nil
	}
	return states[len(states)-1]
}

// set changes a name of a folder; nil removes it.
func (n *node) set(name string, to *node) {
	if len(n.names[name]) == 0 {
		n.names[name] = []*node{nil}
	}
	n.names[name] = append(n.names[name], to)
}

// content returns a file's bytes as the process sees them.
func (n *node) content() []byte {
	return slices.Concat(append([][]byte{n.synced}, n.writes...)...)
}

// NewFiles returns an empty file system.
func NewFiles() *Files { return &Files{root: newFolderNode()} }

// Operations returns the number of operations so far.
func (f *Files) Operations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.operations
}

// StopAt ends the process before the operation of that number: it and all later ones fail.
func (f *Files) StopAt(operation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = operation
}

// Fail makes operations fail while the process goes on.
func (f *Files) Fail(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// IsStopped reports whether the process has ended.
func (f *Files) IsStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

// Restart begins a new process after the former one was killed: nothing is lost, and nothing more is synced.
func (f *Files) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop, f.stopped, f.fault = 0, false, Fault{}
}

// PowerLoss loses power and begins a new process. Each unsynced change is kept with the given probability, from 0 (none) to 1 (all).
func (f *Files) PowerLoss(random *rand.Rand, remaining float64) {
	f.Restart()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.root = lose(f.root, random, remaining)
}

// lose returns a node as it is after a loss of power.
func lose(n *node, random *rand.Rand, remaining float64) *node {
	if n.names == nil {
		return &node{synced: loseWrites(n, random, remaining)}
	}
	left := newFolderNode()
	names := make([]string, 0, len(n.names))
	for name := range n.names {
		names = append(names, name)
	}
	slices.Sort(names) // so that a seed says it all
	for _, name := range names {
		states := n.names[name]
		at := 0
		if random.Float64() < remaining {
			at = len(states) - 1
			if remaining < 1 && random.IntN(4) == 0 {
				at = random.IntN(len(states))
			}
		}
		if states[at] != nil {
			left.names[name] = []*node{lose(states[at], random, remaining)}
		}
	}
	return left
}

// loseWrites returns a file's bytes as they are after a loss of power.
func loseWrites(n *node, random *rand.Rand, remaining float64) []byte {
	data := slices.Clone(n.synced)
	for _, write := range n.writes {
		switch {
		case remaining == 1 || random.Float64() < remaining:
			data = append(data, write...)
		case random.IntN(2) == 0: // torn: a piece, and nothing where the rest was to be
			data = append(data, write[:random.IntN(len(write)+1)]...)
		default: // missing, with its length kept or not
			data = append(data, make([]byte, random.IntN(2)*len(write))...)
		}
	}
	return data
}

// begin counts an operation, and returns whether to do it and the error to report.
func (f *Files) begin(writing bool) (done bool, err error) {
	f.operations++
	if f.stop != 0 && f.operations >= f.stop {
		f.stopped = true
	}
	if f.stopped {
		return false, errStopped
	}
	if f.operations >= f.fault.From && f.operations <= f.fault.To && (writing || !f.fault.Writing) {
		return f.fault.Done, errFaulty
	}
	return true, nil
}

// folder returns the folder at a path.
func (f *Files) folder(name string) (*node, error) {
	at := f.root
	for part := range strings.SplitSeq(strings.Trim(path.Clean(name), "/."), "/") {
		if part == "" {
			continue
		}
		at = at.lookup(part)
		if at == nil || at.names == nil {
			return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
		}
	}
	return at, nil
}

// MkdirAll creates a folder and its parents.
func (f *Files) MkdirAll(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.folder(name); err == nil && !f.stopped {
		return nil // nothing is written
	}
	done, err := f.begin(true)
	if !done {
		return err
	}
	at := f.root
	for part := range strings.SplitSeq(strings.Trim(path.Clean(name), "/."), "/") {
		if at.lookup(part) == nil {
			at.set(part, newFolderNode())
		}
		at = at.lookup(part)
	}
	return err
}

// CreateTemp creates a file with a unique name.
func (f *Files) CreateTemp(folder, prefix string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, missing := f.folder(folder)
	if missing != nil {
		return nil, missing
	}
	done, err := f.begin(true)
	if !done {
		return nil, err
	}
	f.temps++
	made := &openFile{files: f, node: &node{}, name: path.Join(folder, fmt.Sprint(prefix, f.temps))}
	at.set(path.Base(made.name), made.node)
	if err != nil {
		return nil, err
	}
	return made, nil
}

// Rename moves a file and replaces the target if there is one.
func (f *Files) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	source, err := f.folder(path.Dir(from))
	if err != nil {
		return err
	}
	target, err := f.folder(path.Dir(to))
	if err != nil {
		return err
	}
	moved := source.lookup(path.Base(from))
	if moved == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	done, err := f.begin(false)
	if done {
		source.set(path.Base(from), nil)
		target.set(path.Base(to), moved)
	}
	return err
}

// Remove removes a file.
func (f *Files) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, err := f.folder(path.Dir(name))
	if err != nil {
		return err
	}
	if at.lookup(path.Base(name)) == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	done, err := f.begin(false)
	if done {
		at.set(path.Base(name), nil)
	}
	return err
}

// ReadFile returns a file's bytes as the process sees them.
func (f *Files) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, err := f.folder(path.Dir(name))
	if err != nil {
		return nil, err
	}
	file := at.lookup(path.Base(name))
	if file == nil {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	if done, err := f.begin(false); !done {
		return nil, err
	}
	return file.content(), nil
}

// ReadDir lists a folder's names in order.
func (f *Files) ReadDir(name string) ([]disk.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, err := f.folder(name)
	if err != nil {
		return nil, err
	}
	if done, err := f.begin(false); !done {
		return nil, err
	}
	var entries []disk.Entry
	for entry := range at.names {
		if found := at.lookup(entry); found != nil {
			entries = append(entries, disk.Entry{Name: entry, Dir: found.names != nil})
		}
	}
	slices.SortFunc(entries, func(a, b disk.Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries, nil
}

// SyncDir makes a folder's names durable.
func (f *Files) SyncDir(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, err := f.folder(name)
	if err != nil {
		return err
	}
	done, err := f.begin(false)
	if done {
		for entry := range at.names {
			at.names[entry] = []*node{at.lookup(entry)}
		}
	}
	return err
}

// openFile is a file open for appending.
type openFile struct {
	files *Files
	node  *node
	name  string
}

// Name implements disk.File.
func (o *openFile) Name() string { return o.name }

// Write implements disk.File.
func (o *openFile) Write(data []byte) (int, error) {
	o.files.mu.Lock()
	defer o.files.mu.Unlock()
	done, err := o.files.begin(true)
	if done {
		o.node.writes = append(o.node.writes, slices.Clone(data))
	}
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

// Sync implements disk.File.
func (o *openFile) Sync() error {
	o.files.mu.Lock()
	defer o.files.mu.Unlock()
	done, err := o.files.begin(false)
	if done {
		o.node.synced, o.node.writes = o.node.content(), nil
	}
	return err
}

// Close implements disk.File.
func (o *openFile) Close() error { return nil }
