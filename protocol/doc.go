// Package protocol defines what cores and agents must agree on: the messages that both use, the registers that are sent to agents, and the
// time limits that decide whether a configuration is current (docs/design.md §3.2). Messages that only one kind of process uses are defined
// in that process's package.
package protocol
