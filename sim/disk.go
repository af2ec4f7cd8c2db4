package sim

import (
	"errors"
	"sort"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/disk"
)

// Disk is a machine's simulated disk. It survives the processes that use it.
type Disk struct {
	mu         sync.Mutex
	folders    map[string]map[string][]byte // sealed files
	generation int
	delay      time.Duration
	full       bool
	stall      chan struct{} // not nil: writes wait until it is closed
	writes     int
	written    int // bytes, in all
}

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{folders: map[string]map[string][]byte{}} }

// Slow delays each write.
func (d *Disk) Slow(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Fill makes writes fail as on a full disk, or work again.
func (d *Disk) Fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// Stall blocks writes until the returned function is called.
func (d *Disk) Stall() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stall := make(chan struct{})
	d.stall = stall
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.stall = nil
		close(stall)
	}
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.folders = map[string]map[string][]byte{}
}

// Corrupt changes a file's bytes without the program's knowledge.
func (d *Disk) Corrupt(folder, name string, change func([]byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.folders[folder] == nil {
		d.folders[folder] = map[string][]byte{}
	}
	d.folders[folder][name] = change(d.folders[folder][name])
}

// Usage is the size of a disk's content and of all that was ever written to it.
type Usage struct{ Files, Bytes, Writes, Written int }

// Usage returns the disk's present usage.
func (d *Disk) Usage() Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	usage := Usage{Writes: d.writes, Written: d.written}
	for _, files := range d.folders {
		usage.Files += len(files)
		for _, data := range files {
			usage.Bytes += len(data)
		}
	}
	return usage
}

// Open attaches the disk to a new process. The handle of the former process stops working.
func (d *Disk) Open() disk.Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	return &handle{d, d.generation}
}

// handle is one process's access to the disk.
type handle struct {
	disk       *Disk
	generation int
}

// errDead is the error of a handle whose process has been killed.
var errDead = errors.New("this process is dead")

// locked runs a function with the disk locked, if the process is still alive.
func (h *handle) locked(do func() error) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.generation != h.disk.generation {
		return apierror.Wrap(errDead, apierror.DiskFailed, "disk")
	}
	return do()
}

// Put implements disk.Disk.
func (h *handle) Put(folder, name string, data []byte) error {
	h.disk.mu.Lock()
	delay, stall := h.disk.delay, h.disk.stall
	h.disk.mu.Unlock()
	if stall != nil {
		<-stall
	}
	if delay > 0 {
		time.Sleep(delay) // the disk's own time, in the bubble's fake clock
	}
	return h.locked(func() error {
		if h.disk.full {
			return apierror.New(apierror.DiskFailed, "no space left")
		}
		if h.disk.folders[folder] == nil {
			h.disk.folders[folder] = map[string][]byte{}
		}
		h.disk.folders[folder][name] = disk.Seal(data)
		h.disk.writes++
		h.disk.written += len(data)
		return nil
	})
}

// Get implements disk.Disk.
func (h *handle) Get(folder, name string) (data []byte, err error) {
	err = h.locked(func() error {
		sealed, ok := h.disk.folders[folder][name]
		if !ok {
			return apierror.New(apierror.NotFound, "no file %s/%s", folder, name)
		}
		data, err = disk.Open(sealed)
		return err
	})
	return data, err
}

// List implements disk.Disk.
func (h *handle) List(folder string) (names []string, err error) {
	err = h.locked(func() error {
		if folder == "" {
			for name := range h.disk.folders {
				names = append(names, name)
			}
		} else {
			for name := range h.disk.folders[folder] {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return nil
	})
	return names, err
}

// Drop implements disk.Disk.
func (h *handle) Drop(folder, name string) error {
	return h.locked(func() error {
		delete(h.disk.folders[folder], name)
		return nil
	})
}

// Sync does nothing: every write here is durable at once.
func (h *handle) Sync(string) error { return h.locked(func() error { return nil }) }
