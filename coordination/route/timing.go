package route

import "time"

// Times that rule how an entry treats a silent node. A round trip takes under
// a millisecond, a reconnect tens of them, an eviction seconds.
const (
	// cutResend is how long after a lost link the same attempt is sent again
	// unasked: the driver may reconnect by sending.
	cutResend = 50 * time.Millisecond
	// barAfter is how long a cut-off home may stay away before the witness is
	// asked to rule the attempt out.
	barAfter = 200 * time.Millisecond
	// rosterLag is how long after a lost link the record that explains it may
	// still be on its way.
	rosterLag = time.Second
	// barResend is how often an unanswered Bar is repeated.
	barResend = 50 * time.Millisecond
	// unreachableAfter is how long neither member of the pair may be
	// reachable before the caller is told so.
	unreachableAfter = time.Second
	// settleFor is how long a refusal waits for the witness to rule out
	// attempts that were left open, before it is given as Unknown.
	settleFor = 50 * time.Millisecond
	// probeMin and probeMax bound how long a home with a good link may be
	// silent before it is asked again; in between, probeFactor times the
	// service's p95 decides.
	probeMin    = time.Second
	probeMax    = 10 * time.Second
	probeFactor = 2
	// pairWait is how long a flight waits for the pair to become ready: for
	// the roster to move, or for a member to catch up.
	pairWait = time.Second
	// catchUpMin and catchUpMax bound the pauses between its tries.
	catchUpMin = 10 * time.Millisecond
	catchUpMax = 160 * time.Millisecond
	// queryFor is how long a Query or a Cancel may take.
	queryFor = 5 * time.Second
	// orphanFor is how long the flight of a caller without a deadline goes on
	// after the caller went away.
	orphanFor = 30 * time.Second
	// leftFor is how long an attempt that a flight left open is remembered.
	leftFor = 10 * time.Minute
	// retryPair is the Retry-After while a pair is not ready: the time in
	// which the roster usually moves.
	retryPair = time.Second
)

// Bounds on what one submission may cost.
const (
	maxAttempts  = 6
	maxRedirects = 4
	// leftMax bounds the attempts remembered in one shard.
	leftMax = 4096
)
