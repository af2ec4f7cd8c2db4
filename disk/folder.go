package disk

import (
	"errors"
	"io/fs"
	"path/filepath"
	"sync"

	"asterridge/apierror"
)

// tempPrefix is the name prefix of files that are being written.
const tempPrefix = ".aside-"

// Folder implements Disk in a data folder of a file system.
type Folder struct {
	Root  string
	files Files

	mu      sync.Mutex
	durable map[string]bool // folders whose own names survive a power loss
}

// NewFolder opens a data folder on the operating system's file system, and creates it if necessary.
func NewFolder(root string) (*Folder, error) { return NewFolderOn(systemFiles{}, root) }

// NewFolderOn opens a data folder on any file system, and creates it if necessary. The error is apierror.DiskFailed.
func NewFolderOn(files Files, root string) (*Folder, error) {
	d := &Folder{Root: root, files: files, durable: map[string]bool{}}
	if err := files.MkdirAll(root); err != nil {
		return nil, apierror.Wrap(err, apierror.DiskFailed, "create data folder")
	}
	entries, err := files.ReadDir(root)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.DiskFailed, "list data folder")
	}
	// An earlier process may have created folders and crashed before it synced their names.
	for _, path := range []string{root, filepath.Dir(root)} {
		if err := d.syncDir(path); err != nil {
			return nil, err
		}
	}
	for _, entry := range entries {
		d.durable[entry.Name] = entry.Dir
	}
	return d, nil
}

// Put writes the data to a temporary file, syncs it, renames it to name and syncs the folder.
func (d *Folder) Put(folder, name string, data []byte) error {
	if err := d.ensureFolder(folder); err != nil {
		return err
	}
	path := filepath.Join(d.Root, folder)
	temp, err := d.files.CreateTemp(path, tempPrefix)
	if err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "create file")
	}
	_, err = temp.Write(Seal(data))
	if err == nil {
		err = temp.Sync()
	}
	if closing := temp.Close(); err == nil {
		err = closing
	}
	if err == nil {
		err = d.files.Rename(temp.Name(), filepath.Join(path, name))
	}
	if err != nil {
		_ = d.files.Remove(temp.Name()) // if this fails, a later List removes it
		return apierror.Wrap(err, apierror.DiskFailed, "write "+name)
	}
	return d.syncDir(path)
}

// ensureFolder creates a folder and makes its name survive a power loss. That the folder exists is not enough: the sync after its creation
// may have failed.
func (d *Folder) ensureFolder(folder string) error {
	d.mu.Lock()
	durable := d.durable[folder]
	d.mu.Unlock()
	if durable {
		return nil
	}
	if err := d.files.MkdirAll(filepath.Join(d.Root, folder)); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "create folder")
	}
	if err := d.syncDir(d.Root); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable[folder] = true
	return nil
}

// syncDir syncs the names in a folder given by its path.
func (d *Folder) syncDir(path string) error {
	return apierror.Wrap(d.files.SyncDir(path), apierror.DiskFailed, "sync folder")
}

// Sync makes the current names in a folder survive a power loss.
func (d *Folder) Sync(folder string) error { return d.syncDir(filepath.Join(d.Root, folder)) }

// Get reads a file and verifies its checksum. The errors are apierror.NotFound, Torn and DiskFailed.
func (d *Folder) Get(folder, name string) ([]byte, error) {
	sealed, err := d.files.ReadFile(filepath.Join(d.Root, folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, apierror.New(apierror.NotFound, "no file %s/%s", folder, name)
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.DiskFailed, "read "+name)
	}
	return Open(sealed)
}

// List returns the names of the files in a folder, or of all folders if folder is empty. It removes temporary files of interrupted writes.
func (d *Folder) List(folder string) ([]string, error) {
	entries, err := d.files.ReadDir(filepath.Join(d.Root, folder))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.DiskFailed, "list folder")
	}
	var names []string
	for _, entry := range entries {
		if entry.Dir != (folder == "") {
			continue
		}
		if entry.Name[0] == '.' {
			_ = d.files.Remove(filepath.Join(d.Root, folder, entry.Name)) // if this fails, the next List removes it
			continue
		}
		names = append(names, entry.Name)
	}
	return names, nil
}

// Drop removes a file.
func (d *Folder) Drop(folder, name string) error {
	err := d.files.Remove(filepath.Join(d.Root, folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return apierror.Wrap(err, apierror.DiskFailed, "drop "+name)
}
