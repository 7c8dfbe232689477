// Package guard decides who may start a job id: the protocol of the pair that
// guards a share of the ids, as a machine without sockets, clock or goroutines.
//
// The log gives every node the same sequence of pairs for a share; the offset
// of the record that began a pair is its epoch. An attempt to start an id is
// bound to one epoch, and is granted by the home of that epoch after the witness
// has recorded the claim at the same epoch. Since consecutive pairs have a
// member in common and no member acts at an epoch it has left, an epoch ends for
// good as soon as one of its members has gone on.
//
// Each member keeps a watermark: its record holds every claim granted below it.
// One that goes on from an epoch at which it was a member holds what was granted
// there, because nothing could be granted without it. One that enters a pair
// pulls the claims of the epochs it wasn't there for. A grant needs at least one
// member whose watermark has reached the epoch.
//
// What the machine relies on: a node id is never used by two processes; a
// service's region never changes; nothing is heard of an attempt later than a
// claim's retention after its entry made it; clocks of nodes run at about the same rate.
package guard
