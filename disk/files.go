package disk

import (
	"errors"
	"os"
)

// Files are the operations of a file system that a Folder is made of. Names that do not exist are reported by errors that are
// fs.ErrNotExist.
type Files interface {
	MkdirAll(path string) error
	CreateTemp(folder, prefix string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	ReadFile(path string) ([]byte, error)
	ReadDir(path string) ([]Entry, error)
	// SyncDir has the names of a folder survive a loss of power.
	SyncDir(path string) error
}

// File is a file that is being written.
type File interface {
	Name() string
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// Entry is a name in a folder.
type Entry struct {
	Name string
	Dir  bool
}

// systemFiles is the file system of the machine.
type systemFiles struct{}

// MkdirAll implements Files.
func (systemFiles) MkdirAll(path string) error { return os.MkdirAll(path, 0o755) }

// Rename implements Files.
func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Files.
func (systemFiles) Remove(path string) error { return os.Remove(path) }

// ReadFile implements Files.
func (systemFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// CreateTemp implements Files.
func (systemFiles) CreateTemp(folder, prefix string) (File, error) {
	file, err := os.CreateTemp(folder, prefix)
	if err != nil {
		return nil, err // not a nil *os.File in an interface that is not nil
	}
	return file, nil
}

// ReadDir implements Files.
func (systemFiles) ReadDir(path string) ([]Entry, error) {
	list, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(list))
	for _, entry := range list {
		entries = append(entries, Entry{Name: entry.Name(), Dir: entry.IsDir()})
	}
	return entries, nil
}

// SyncDir implements Files.
func (systemFiles) SyncDir(path string) error {
	handle, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}
