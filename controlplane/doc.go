// Package controlplane is the program that keeps the fleet's control state: the core. Several cores, one for each zone, keep the same
// registers on their disks; there is no common log and no leader for all. Each register has one owner at a time, picked by rendezvous hash
// among the live members, which changes it under an epoch with the consent of a majority of the disks (package register).
//
// Core is the state of one such process. Its parts, each in a file:
//
//   - Members: membership.go acts on the list of members, bootstrap.go makes the first list or asks to be admitted, liveness.go watches the
//     members, transfer.go moves the keys to a changed list, leave.go ends in order. The rules are those of package membership.
//   - Registers: acceptors.go answers other cores' prepares and accepts, catchup.go adopts what a peer has committed, tick.go drives all of
//     it several times a second.
//   - Operations, which change registers: operation.go takes each to the register's owner; config.go, access_keys.go, replicas.go,
//     throttles.go, claims.go, models.go and retirement.go check and apply them.
//   - Singleton roles, which one core performs for all: leases.go, weights_rollout.go, model_loader.go, replica_list.go,
//     cache_readers.go and retirement_controller.go.
//   - Observation: queries.go answers operators, metrics.go is scraped.
package controlplane
