// Package controlplane implements the core, the process that keeps the fleet's control state. Several cores, one per zone, replicate
// the same registers on their disks. There is no shared log and no global leader: each register has one owner at a time, chosen by
// rendezvous hashing among the live members. The owner changes the register under an epoch, with the agreement of a majority of the
// members' acceptors (package register).
//
// Core is the state of one such process. It is spread over these files:
//
//   - Membership: membership.go applies the list of members, bootstrap.go creates the first list or asks for admission, liveness.go tracks
//     unresponsive members, transfer.go transfers registers to new members, leave.go implements a graceful leave. The rules are in package
//     membership.
//   - Registers: acceptors.go handles prepares and accepts from other cores, catchup.go adopts what a peer has committed, quorum_read.go
//     reads without writing, and tick.go drives all of them several times a second.
//   - Operations, which change registers: operation.go forwards each one to the owner of its register; config.go, access_keys.go,
//     replicas.go, throttles.go, claims.go, models.go and retirement.go validate and apply them; change_once.go makes them idempotent.
//   - Singleton roles, each performed by one core at a time: leases.go, weights_rollout.go, model_loader.go, replica_list.go,
//     cache_readers.go and retirement_controller.go.
//   - Observation: queries.go answers operators' queries, metrics.go exports metrics.
package controlplane
