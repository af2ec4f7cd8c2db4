package idempotency

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
)

// apply plays one order on a register's content, as an owner does, and gives the version that it was applied as.
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
	is.Equal(version, uint64(7)) // the answer is that of the first time
	_, err = apply(is, content, 9, Key{IdempotencyKey: "k"}, "create b")
	is.True(apierror.Is(err, apierror.KeyReused))
	version, err = apply(is, content, 9, Key{IdempotencyKey: "l"}, "create b")
	is.NoErr(err)
	is.Equal(version, uint64(9))
	_, rest, err := Split(content)
	is.NoErr(err)
	is.Equal(len(rest), 1) // what the register is for is not mixed with the memory
}

// The memory has a bound in bytes, whatever comes. At its edge an order is known or told as forgotten, and never taken for a new one.
func TestMemoryIsBoundedAndTellsWhatItForgot(t *testing.T) {
	is := is.New(t)
	content := register.Fields{}
	key := func(n int) Key {
		return Key{IdempotencyKey: strings.Repeat("k", MaxKeyBytes-8) + fmt.Sprintf("%08d", n), KnownVersion: uint64(n)}
	}
	const orders = MaxRemembered + 10
	for n := 1; n <= orders; n++ { // each knows the version before its own
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
	for n := 1; n <= orders; n++ {
		version, err := apply(is, content, 1000, key(n), "order")
		if n <= orders-MaxRemembered {
			is.True(apierror.Is(err, apierror.Forgotten))
			continue
		}
		is.NoErr(err)
		is.Equal(version, uint64(n+1))
	}
	fresh := Key{IdempotencyKey: "fresh", KnownVersion: orders - MaxRemembered + 2} // the version of the oldest that is remembered
	_, err := apply(is, content, 1000, fresh, "order")
	is.NoErr(err)
}

func TestKeyIsBounded(t *testing.T) {
	is := is.New(t)
	_, err := Identify(Key{IdempotencyKey: strings.Repeat("k", MaxKeyBytes)}, "x")
	is.NoErr(err)
	_, err = Identify(Key{IdempotencyKey: strings.Repeat("k", MaxKeyBytes+1)}, "x")
	is.True(apierror.Is(err, apierror.OutOfRange))
	order, err := Identify(Key{}, "x")
	is.NoErr(err)
	is.True(!order.HasKey())
}

func TestTornMemoryIsAnError(t *testing.T) {
	_, _, err := Split(register.Fields{fieldPrefix + "0": []byte(`"`)})
	is.New(t).True(apierror.Is(err, apierror.Malformed))
}
