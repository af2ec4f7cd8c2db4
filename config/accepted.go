package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"asterridge/register"
)

// The accepted numbers are remembered in records of one size: the newest each in a field of its own, so that a change writes little beside
// its items, and older ones in segments. There is room for so many segments; the oldest gives way (docs/design.md §2.9).
const (
	numberField    = "number"
	acceptedPrefix = "accepted/"
	segmentSize    = 64
	maxSegments    = 128 // 8,192 numbers: four days at 2,000 changes a day
	maxRemembered  = 64  // digests in the former format
)

// fingerprint tells declarations of one number apart.
type fingerprint [16]byte

func fingerprintOf(parts ...any) (f fingerprint) {
	sum := sha256.Sum256(fmt.Append(nil, parts...))
	copy(f[:], sum[:])
	return f
}

// fingerprint of the declaration: the same text as a whole configuration and as an amendment, or built on another number, is another one.
func (d NumberedConfig) fingerprint() fingerprint {
	return fingerprintOf("whole=", d.Full, " based on ", d.BasedOn, " ", d.Digest)
}

// acceptedRecord is one accepted number with what was declared under it.
type acceptedRecord struct {
	number      uint64
	fingerprint fingerprint
}

const recordSize = 8 + len(fingerprint{})

func (r acceptedRecord) append(records []byte) []byte {
	return append(binary.BigEndian.AppendUint64(records, r.number), r.fingerprint[:]...)
}

func firstRecord(records []byte) (r acceptedRecord) {
	r.number = binary.BigEndian.Uint64(records)
	copy(r.fingerprint[:], records[8:])
	return r
}

// numbering is the field of the present number.
type numbering struct {
	Number    uint64         `json:"number"`
	Count     uint64         `json:"count,omitempty"`     // how many numbers were put to memory
	Forgotten uint64         `json:"forgotten,omitempty"` // of numbers up to this one it is not remembered whether they were accepted
	Digests   []formerDigest `json:"digests,omitempty"`   // the former format's memory, newest last
}

type formerDigest struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// accepted is the memory of the accepted numbers.
type accepted struct {
	numbering
	fields register.Fields // of records
}

// readAccepted reads the memory out of a register's content, also in the former format.
func readAccepted(content register.Fields) accepted {
	a := accepted{fields: register.Fields{}}
	_ = json.Unmarshal(content[numberField], &a.numbering) // none yet: 0
	for field, raw := range content {
		if strings.HasPrefix(field, acceptedPrefix) {
			a.fields[field] = raw
		}
	}
	former := a.Digests
	a.Digests = nil
	if len(former) >= maxRemembered {
		a.Forgotten = former[0].Number - 1
	}
	for _, d := range former {
		a.remember(acceptedRecord{d.Number, fingerprintOf(d.Digest)})
	}
	return a
}

func newestField(at uint64) string  { return fmt.Sprint(acceptedPrefix, "newest/", at) }
func segmentField(at uint64) string { return fmt.Sprint(acceptedPrefix, "segment/", at) }

// records gives a field's records, one behind the other. Bytes stand in JSON as a base64 string without escapes.
func (a accepted) records(field string) []byte {
	records, _ := base64.StdEncoding.DecodeString(strings.Trim(string(a.fields[field]), `"`)) // no such field: no records
	return records
}

func (a accepted) put(field string, records []byte) {
	a.fields[field], _ = json.Marshal(records) // bytes always encode
}

// remember puts a number to memory. The last one of a segment takes those before it along.
func (a *accepted) remember(r acceptedRecord) {
	at, segment := a.Count%segmentSize, a.Count/segmentSize%maxSegments
	a.Count++
	if at < segmentSize-1 {
		a.put(newestField(at), r.append(nil))
		return
	}
	var records []byte
	for before := range at {
		records = append(records, a.records(newestField(before))...)
		delete(a.fields, newestField(before))
	}
	if oldest := a.records(segmentField(segment)); len(oldest) > 0 {
		a.Forgotten = firstRecord(oldest[len(oldest)-recordSize:]).number
	}
	a.put(segmentField(segment), r.append(records))
}

// has says whether just this declaration is remembered as accepted.
func (a accepted) has(d NumberedConfig) bool {
	wanted, former := d.fingerprint(), fingerprintOf(d.Digest)
	for field := range a.fields {
		for records := a.records(field); len(records) >= recordSize; records = records[recordSize:] {
			if r := firstRecord(records); r.number == d.Number {
				return r.fingerprint == wanted || r.fingerprint == former
			}
		}
	}
	return false
}

// mayHave says whether a declaration that is not remembered may have been accepted all the same, before the memory's end.
func (a accepted) mayHave(d NumberedConfig) bool {
	return d.BasedOn < d.Number && d.Number <= a.Forgotten
}
