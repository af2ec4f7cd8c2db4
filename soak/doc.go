// Package soak runs a whole fleet as real processes on loopback, with fake replicas and clients of its own, for tests of what processes do
// when they are told to stop, to read their settings again, are frozen, killed or started anew while clients use them (docs/operators.md,
// "Signals"). It knows no manner of speaking: a System says how the programs are started and spoken to.
package soak
