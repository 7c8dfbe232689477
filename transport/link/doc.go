// Package link carries messages between nodes over gRPC.
//
// Two nodes share one link: whoever has something to say first dials, and both
// directions run over the same stream. A link that nobody uses is closed and
// dialled again when needed, so that a node of a large fleet keeps links only
// to the nodes it works with.
//
// What a caller may rely on:
//
//   - Send never blocks. It either accepts the message into a bounded queue or
//     refuses it.
//   - Messages to one peer are delivered in the order in which they were
//     accepted, each at most once. They are lost only where Down says so.
//   - Down(id) settles what was accepted for the peer before: nothing of it is
//     written any more. What had been written may have been delivered, or still
//     be on its way; it comes before anything that is sent after Down. Down
//     comes once for each break, and once for each failed dial that had
//     messages waiting.
//   - Handler, Up and Down are called by one goroutine at a time for one peer,
//     and by several goroutines for several peers. They must return promptly:
//     while Handler is busy, the peer's messages wait at the sender, which cuts
//     the link after WriteTimeout. Close waits for calls that are running.
//
// A link is closed in good order by a Closing frame from each side. The side
// that dialled ends its half of the stream when it has seen the other's
// Closing, the side that accepted ends the stream after that, so both know that
// all was handled. Until then no other link to the peer is used: a message
// could overtake an earlier one.
//
// Lock order: peer.deliver, then peer.mu, then Links.life. A shard's lock is
// never held together with a peer's, but for the removal of an expired peer,
// which takes the shard's lock first.
package link
