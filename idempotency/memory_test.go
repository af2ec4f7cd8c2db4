package idempotency

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
)

// apply applies an order to a register's content, as the register's owner does, and returns the version as which it was applied.
func apply(is *is.I, content register.Fields, version uint64, key Key, text string) (uint64, error) {
	is.Helper()
	order, err := Identify(key, text)
	is.NoErr(err)
	memory, _, err := Split(content)
	is.NoErr(err)
	if applied, err := memory.AppliedVersion(order); err != nil || applied > 0 {
		return applied, err
	}
	content.Apply(memory.Remember(order, version))
	return version, nil
}

func TestOrderIsAppliedOnceForItsKey(t *testing.T) {
	is := is.New(t)
	content := register.Fields{"tenant/a": []byte(`{}`)}
	version, err := apply(is, content, 7, Key{IdempotencyKey: "k"}, "create a")
	is.NoErr(err)
	is.Equal(version, uint64(7))
	version, err = apply(is, content, 9, Key{IdempotencyKey: "k"}, "create a")
	is.NoErr(err)
	is.Equal(version, uint64(7)) // the same answer as for the first copy
	_, err = apply(is, content, 9, Key{IdempotencyKey: "k"}, "create b")
	is.True(apierror.Is(err, apierror.KeyReused))
	version, err = apply(is, content, 9, Key{IdempotencyKey: "l"}, "create b")
	is.NoErr(err)
	is.Equal(version, uint64(9))
	_, others, err := Split(content)
	is.NoErr(err)
	is.Equal(len(others), 1) // the other fields do not include the memory
}

// The size of the memory in bytes is limited. An order that was applied is either remembered or reported as forgotten, and never taken for a
// new one.
func TestMemoryIsBoundedAndReportsForgottenOrders(t *testing.T) {
	is := is.New(t)
	content := register.Fields{}
	key := func(n int) Key {
		return Key{IdempotencyKey: strings.Repeat("k", MaxKeyBytes-8) + fmt.Sprintf("%08d", n), KnownVersion: uint64(n)}
	}
	const orderCount = MaxRemembered + 10
	for n := 1; n <= orderCount; n++ { // each knows the version before the one that it creates
		version, err := apply(is, content, uint64(n+1), key(n), "order")
		is.NoErr(err)
		is.Equal(version, uint64(n+1))
	}
	is.Equal(len(content), MaxRemembered)
	size := 0
	for field, raw := range content {
		size += len(field) + len(raw)
	}
	is.True(size < 160*MaxRemembered)
	for n := 1; n <= orderCount; n++ {
		version, err := apply(is, content, 1000, key(n), "order")
		if n <= orderCount-MaxRemembered {
			is.True(apierror.Is(err, apierror.Forgotten))
			continue
		}
		is.NoErr(err)
		is.Equal(version, uint64(n+1))
	}
	newKey := Key{IdempotencyKey: "fresh", KnownVersion: orderCount - MaxRemembered + 2} // the version of the oldest remembered order
	_, err := apply(is, content, 1000, newKey, "order")
	is.NoErr(err)
}

func TestKeyLengthIsLimited(t *testing.T) {
	is := is.New(t)
	_, err := Identify(Key{IdempotencyKey: strings.Repeat("k", MaxKeyBytes)}, "x")
	is.NoErr(err)
	_, err = Identify(Key{IdempotencyKey: strings.Repeat("k", MaxKeyBytes+1)}, "x")
	is.True(apierror.Is(err, apierror.OutOfRange))
	order, err := Identify(Key{}, "x")
	is.NoErr(err)
	is.True(!order.HasKey())
}

func TestUndecodableMemoryIsAnError(t *testing.T) {
	_, _, err := Split(register.Fields{fieldPrefix + "0": []byte(`"`)})
	is.New(t).True(apierror.Is(err, apierror.Malformed))
}
