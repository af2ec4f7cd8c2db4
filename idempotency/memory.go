// Package idempotency records, within a register, which operators' orders were applied to it, so that an order that is sent again has no
// second effect. Callers identify their orders by idempotency keys of their own choice. The record (Memory) is part of the register's content,
// so it is on the same majority of disks as the changes that the orders made (docs/control.md §2).
//
// It is bounded: beyond MaxRemembered orders the oldest is forgotten. A caller may state a version of the register that it knew before it
// sent the order for the first time. Then it gets an error if its order may have been applied and forgotten; without that version a forgotten
// order is applied again as a new one.
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
	// MaxRemembered is how many orders a register remembers. A stored record has less than 160 bytes, so all of them have less than 40 KB.
	MaxRemembered = 256
	// MaxKeyBytes is the maximum length of a caller's key in bytes.
	MaxKeyBytes = 128
	// fieldPrefix is the prefix of the register fields that hold the memory, one for each remembered order.
	fieldPrefix = "order/"
	// hashBytes is how many bytes of the SHA-256 hashes of a key and of an order are stored.
	hashBytes = 16
)

// Key identifies an order. It is embedded in the messages that carry an order.
type Key struct {
	// IdempotencyKey is chosen by the caller; empty: each copy of the order that arrives may be applied.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// KnownVersion is a version of the register that the caller knew before it sent the order for the first time; 0: none.
	KnownVersion uint64 `json:"known_version,omitempty"`
}

// HasKey reports whether the caller has given an idempotency key.
func (k Key) HasKey() bool { return k.IdempotencyKey != "" }

// Order identifies an order in the memory. The zero Order has no key and is never remembered.
type Order struct {
	key          string // hash of the caller's key
	fingerprint  string // hash of the content
	knownVersion uint64
}

// Identify returns the Order for a key and the content that is sent with it, which must encode as JSON and must not contain the key. The error
// is apierror.OutOfRange if the key is too long, apierror.Malformed if the content cannot be encoded.
func Identify(key Key, content any) (Order, error) {
	if !key.HasKey() {
		return Order{}, nil
	}
	if len(key.IdempotencyKey) > MaxKeyBytes {
		return Order{}, apierror.New(apierror.OutOfRange, "idempotency key has %d bytes, at most %d are allowed", len(key.IdempotencyKey), MaxKeyBytes)
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
	// Sequence numbers the register's orders from 0. Version is the version of the register that the order created.
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
}

// Memory is the record of the latest orders that were applied to a register.
type Memory struct {
	records []record // sorted by Sequence
}

// IsField reports whether a register's field belongs to the memory.
func IsField(field string) bool { return strings.HasPrefix(field, fieldPrefix) }

// Split separates a register's content into the memory and the other fields. The error is apierror.Malformed if the memory cannot be decoded.
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

// AppliedVersion returns the version of the register that an order created; 0 if it was never applied. The errors are apierror.KeyReused if
// another order was applied under the same key, and apierror.Forgotten if this one may have been applied and forgotten.
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
	// Forgotten orders were applied no later than the oldest order that is remembered.
	if len(m.records) > 0 && m.records[0].Sequence > 0 && order.knownVersion > 0 && order.knownVersion < m.records[0].Version {
		return 0, apierror.New(apierror.Forgotten, "the order was first sent at version %d, and orders are remembered from version %d on",
			order.knownVersion, m.records[0].Version)
	}
	return 0, nil
}

// Remember returns the field to be written together with the change that an order makes, as the given version of the register.
func (m Memory) Remember(order Order, version uint64) register.Fields {
	r := record{Key: order.key, Fingerprint: order.fingerprint, Version: version}
	if len(m.records) > 0 {
		r.Sequence = m.records[len(m.records)-1].Sequence + 1
	}
	raw, _ := json.Marshal(r) // a plain struct always encodes
	return register.Fields{fmt.Sprint(fieldPrefix, r.Sequence%MaxRemembered): raw}
}
