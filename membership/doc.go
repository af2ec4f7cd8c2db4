// Package membership has the rules by which the list of cores changes. It is a core without I/O: its functions take what is known and give
// what is to be done; package controlplane watches the members, asks for changes and stores them (docs/design.md §2.8, docs/control.md §3).
//
// The list is the content of one register. It changes by one member at a time: a core is admitted, removed, or leaves. Every message about
// other registers carries the version of its sender's list, and a core that has accepted a newer list refuses them, so that nothing is
// written under an old list once a new one may stand. After each change the keys are transferred: each is accepted again by a majority of
// the new list, and only then may the list change again. Any two majorities that follow each other therefore meet.
//
// The rules in this package decide who may be admitted (Change.Apply), who has been unresponsive for so long that it is removed
// (View.Next), and whether a core that is told to stop may leave (View.MayLeave). All of them look at the losses that the remaining list
// bears: SpareLosses, against the Tolerance that the deployment asks for.
package membership
