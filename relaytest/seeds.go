package relaytest

import (
	"bytes"
	"fmt"
	"log"
	"testing"
	"testing/synctest"
)

// PlaySeeds plays a mix for each seed. Each finding fails the test under the seed that reproduces it.
func PlaySeeds(t *testing.T, m Mix, count int) {
	t.Helper()
	Quiet(t)
	for seed := m.Seed; seed < m.Seed+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := m
				one.Seed = seed
				for _, finding := range Play(one) {
					t.Error(finding)
				}
			})
		})
	}
}

// PlayEachAct plays each wrong answer by itself, with some seeds each.
func PlayEachAct(t *testing.T, m Mix, count int) {
	t.Helper()
	for _, name := range Acts() {
		t.Run(name, func(t *testing.T) {
			one := m
			one.Only = name
			PlaySeeds(t, one, count)
		})
	}
}

// Quiet discards the log lines of net/http about broken connections. A handler that panics fails the test.
func Quiet(t *testing.T) {
	t.Helper()
	before := log.Writer()
	log.SetOutput(panics{t})
	t.Cleanup(func() { log.SetOutput(before) })
}

// panics is a log writer that looks for the line of net/http about a handler that panicked.
type panics struct{ t *testing.T }

// Write implements io.Writer.
func (p panics) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("panic serving")) {
		p.t.Errorf("%s", b)
	}
	return len(b), nil
}
