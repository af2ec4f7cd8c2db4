// Package protocol has what cores and agents must agree on: messages that both sides know, the registers that are sent to agents, and the
// times that the arithmetic of currency rests on (docs/design.md §3.2). Messages of one kind of process alone stay with its package.
package protocol
