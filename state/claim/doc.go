// Package claim keeps the claims an agent has recorded: which home holds which
// job id, and with what content. The table is divided by share, each shard under
// its own lock. Claims are never taken back; they go when their retention is
// over, and with them the promise that the id runs at most once.
//
// A shard is a short list of generations. A generation keeps its claims in one
// byte slice, sorted by a short hash of the id, because a daemon has tens of
// megabytes for hundreds of thousands of claims and little time for garbage
// collection. Whole generations are dropped, so nothing is swept.
package claim
