// Package idempotency remembers, within a register, which operators' orders were applied to it, so that an order that is sent again has no
// second effect. Callers name their orders by keys of their own choice. The memory is part of the register's content, so it is on the same
// majority of disks as what the order changed (docs/control.md §2).
//
// It is bounded: beyond MaxRemembered orders the oldest is forgotten. A caller that tells which version of the register it knew before it
// sent the first copy is told when its order may have been forgotten; without that version a forgotten order counts as a new one.
package idempotency

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"asterridge/apierror"
	"asterridge/register"
)

const (
	// MaxRemembered is how many orders a register remembers. A stored record has less than 160 bytes, so the memory has less than 40 KB.
	MaxRemembered = 256
	// MaxKeyBytes bounds a caller's key, in bytes.
	MaxKeyBytes = 128
	// fieldPrefix begins the fields that hold the memory, one for each remembered order.
	fieldPrefix = "order/"
	// hashBytes is how much of a SHA-256 is stored of a key and of an order.
	hashBytes = 16
)

// Key names an order. It is embedded in the messages that carry one.
type Key struct {
	// IdempotencyKey is of the caller's choice; empty: each copy of the order that arrives may have its effect.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// KnownVersion is a version of the register that the caller knew before it sent the first copy; 0: none.
	KnownVersion uint64 `json:"known_version,omitempty"`
}

// HasKey reports whether the caller has named its order.
func (k Key) HasKey() bool { return k.IdempotencyKey != "" }

// Order is an order as the memory tells it from others. The zero Order has no key and is never remembered.
type Order struct {
	key          string // the hash of the caller's
	fingerprint  string // of the content
	knownVersion uint64
}

// Identify makes an Order of a key and the content that is sent under it, which has to encode as JSON and not to contain the key. The error
// is apierror.OutOfRange if the key is too long.
func Identify(key Key, content any) (Order, error) {
	if !key.HasKey() {
		return Order{}, nil
	}
	if len(key.IdempotencyKey) > MaxKeyBytes {
		return Order{}, apierror.New(apierror.OutOfRange, "an idempotency key of %d bytes, %d are allowed", len(key.IdempotencyKey), MaxKeyBytes)
	}
	text, err := json.Marshal(content)
	if err != nil {
		return Order{}, apierror.Wrap(err, apierror.Malformed, "order")
	}
	return Order{key: hash([]byte(key.IdempotencyKey)), fingerprint: hash(text), knownVersion: key.KnownVersion}, nil
}

// HasKey reports whether the order has a key.
func (o Order) HasKey() bool { return o.key != "" }

func hash(text []byte) string {
	sum := sha256.Sum256(text)
	return base64.RawStdEncoding.EncodeToString(sum[:hashBytes])
}

// record is a remembered order as it is stored.
type record struct {
	Key         string `json:"key"`
	Fingerprint string `json:"content"`
	// Sequence numbers the register's orders from 0, Version is the register's version that the order made.
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
}

// Memory is what a register remembers of its orders.
type Memory struct {
	records []record // in the order of their sequence
}

// IsField reports whether a register's field belongs to the memory.
func IsField(field string) bool { return strings.HasPrefix(field, fieldPrefix) }

// Split takes a register's content apart into the memory and all others. The error is apierror.Malformed if the memory cannot be read.
func Split(content register.Fields) (m Memory, others register.Fields, err error) {
	others = make(register.Fields, len(content))
	for field, raw := range content {
		if !IsField(field) {
			others[field] = raw
			continue
		}
		var r record
		if err := json.Unmarshal(raw, &r); err != nil {
			return Memory{}, nil, apierror.Wrap(err, apierror.Malformed, "register field "+field)
		}
		m.records = append(m.records, r)
	}
	slices.SortFunc(m.records, func(a, b record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return m, others, nil
}

// AppliedVersion gives the register's version that an order made; 0 if it was never applied. The errors are apierror.KeyReused if another
// order was applied under the same key, and apierror.Forgotten if this one may have been applied and forgotten.
func (m Memory) AppliedVersion(order Order) (uint64, error) {
	if !order.HasKey() {
		return 0, nil
	}
	for _, r := range m.records {
		switch {
		case r.Key != order.key:
		case r.Fingerprint != order.fingerprint:
			return 0, apierror.New(apierror.KeyReused, "another order was applied under this key, as version %d", r.Version)
		default:
			return r.Version, nil
		}
	}
	// What is forgotten was applied no later than the oldest order that is remembered.
	if len(m.records) > 0 && m.records[0].Sequence > 0 && order.knownVersion > 0 && order.knownVersion < m.records[0].Version {
		return 0, apierror.New(apierror.Forgotten, "the order was first sent at version %d, and orders are remembered from version %d on", order.knownVersion, m.records[0].Version)
	}
	return 0, nil
}

// Remember gives the field that is to be written together with the change that an order makes, under the register's version.
func (m Memory) Remember(order Order, version uint64) register.Fields {
	r := record{Key: order.key, Fingerprint: order.fingerprint, Version: version}
	if len(m.records) > 0 {
		r.Sequence = m.records[len(m.records)-1].Sequence + 1
	}
	raw, _ := json.Marshal(r) // a plain struct always encodes
	return register.Fields{fmt.Sprint(fieldPrefix, r.Sequence%MaxRemembered): raw}
}
