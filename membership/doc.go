// Package membership has the rules by which the list of cores changes. It does no I/O: its functions compute what is to be done from what one
// core knows. Package controlplane watches the members, proposes changes and stores them (docs/design.md §2.8, docs/control.md §3).
//
// The list is stored in one register and changes by one member at a time: a core is admitted, is removed, or leaves. Every message about
// other registers carries the version of the sender's list, and a core that has accepted a newer list rejects it, so nothing is written
// under an old list once a newer one may be committed. After each change the keys are transferred: each key is accepted again by a majority
// of the new list, and the list may change again only after that. So a majority of one list always intersects a majority of the next.
//
// The rules decide who may be admitted (Change.Apply), which unresponsive member is removed (View.Next), and whether a core that is being
// stopped may leave (View.MayLeave). They compare the losses that the remaining list can take (SpareLosses) with those that the deployment
// wants to survive (Tolerance).
package membership
