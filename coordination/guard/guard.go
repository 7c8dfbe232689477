package guard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

// Options are the settings of a Guard.
type Options struct {
	// Self is the agent this guard decides for. Its ID names this process only.
	Self state.Member
	// Retention is how long a claim is kept, and so how long an id runs at most
	// once. It is many times AskRetry.
	Retention time.Duration
	// Blind is how long the guard goes on granting without knowing that no
	// newer roster record stands in the log. Zero means without limit; then a
	// share that lost both its members opens by ConfirmLost only.
	Blind time.Duration
	// AskRetry is the time between two tries of a message that has no answer.
	AskRetry time.Duration
	// RegionOf returns the region of a service, or "" for an unknown one. It is
	// called with locks held and must not call the guard.
	RegionOf func(service string) string
}

// Guard is one agent's part in guarding claims. It is safe for concurrent use.
//
// Lock order: apply, then one share, then one of active, news and the claim
// table's shards. No two shares are locked at once.
type Guard struct {
	opts     Options
	self     state.NodeID
	disabled safeguards
	metrics  *metrics

	// apply admits one roster record at a time.
	apply  sync.Mutex
	roster atomic.Pointer[roster.Roster]
	// applyTo is (*roster.Roster).Apply; tests of many nodes share its work.
	applyTo func(*roster.Roster, int64, []byte) (*roster.Roster, roster.Change, error)

	claims *claim.Table
	// idOf is claim.IDOf; a test gives all ids one ID.
	idOf func(state.JobKey) claim.ID
	// keep is how long a record is kept. A witness records a claim up to
	// giveUpAfter before it is granted, so that much is added to Retention.
	keep time.Duration
	// page is how many claims go into one PullReply, about.
	page   int
	shares [roster.Shares]share
	active activeShares
	news   news
	tokens atomic.Uint64
	// fences is the largest number of a fence that was set here.
	fences atomic.Uint64
	// left is set once the roster says that Self is no member any more.
	left atomic.Bool
	// swept is the share where Tick goes on dropping what has expired.
	swept atomic.Uint32
	// latest is the newest time any call brought, in Unix nanoseconds.
	latest atomic.Int64
}

// safeguards lets tests take a safeguard out, to show that they would notice.
// The zero value has all of them in place.
type safeguards struct {
	witnessEpoch bool // the witness's check of the ask's epoch
	watermark    bool // one member's record must be complete
	pullFence    bool // a pull needs a source that has left the old epoch
	coverFence   bool // coverage ends before the sender's own epoch
	coverGaps    bool // coverage leaves out the epochs that the sender lacks
	homeRecheck  bool // the home's check of its epoch when the yes arrives
	bars         bool // barred attempts are refused
	boundAttempt bool // an attempt is bound to the epoch its entry used
	closed       bool // an attempt that was denied stays denied
	freshness    bool // no grant without news of the log for too long
	pageOrder    bool // pages of a pull are matched to their asks
	lostWait     bool // a share that ConfirmLost opens waits for its claims to expire
	holder       bool // the witness's check for another holder
	fences       bool // a "no" for an id rules out all earlier attempts
	grantedHere  bool // only who was granted the id calls other content not run
	gapWait      bool // the sweep drops a gap only when its claims have expired
	idDoubt      bool // a "no" from one that lacks claims says so
}

// New returns a guard that has applied no roster record yet.
func New(o Options) *Guard {
	g := &Guard{
		opts:    o,
		self:    o.Self.ID,
		metrics: newMetrics(),
		applyTo: (*roster.Roster).Apply,
		page:    pageRecords,
		idOf:    claim.IDOf,
	}
	g.keep = o.Retention + g.giveUpAfter()
	g.claims = claim.New(g.keep, xxhash.Sum64String(string(g.self)))
	g.roster.Store(roster.New())
	return g
}

// Roster returns the roster as far as the guard has read it.
func (g *Guard) Roster() *roster.Roster {
	return g.roster.Load()
}

// Lookup returns the claim recorded for the id, if there is one. With several
// it prefers the one this agent holds.
func (g *Guard) Lookup(key state.JobKey) (message.Record, bool) {
	now := time.Unix(0, g.latest.Load())
	found := g.find(now, roster.ShareOf(key), key)
	if len(found) == 0 {
		return message.Record{}, false
	}
	for _, r := range found {
		if r.Holder == g.self {
			return toMessage(now, r), true
		}
	}
	return toMessage(now, found[0]), true
}

// Handle takes a message from another node. Messages that aren't the guard's
// are ignored.
func (g *Guard) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	g.touch(now)
	var acts actions
	switch m := msg.(type) {
	case message.Bar:
		g.onBar(now, from, m, &acts)
	case message.ClaimAsk:
		g.onClaimAsk(now, from, m, &acts)
	case message.ClaimReply:
		g.onClaimReply(now, from, m, &acts)
	case message.PullAsk:
		g.onPullAsk(now, from, m, &acts)
	case message.PullReply:
		g.onPullReply(now, from, m, &acts)
	case message.RosterAsk:
		g.onRosterAsk(now, from, m, &acts)
	case message.RosterReply:
		g.onRosterReply(now, m, &acts)
	}
	return acts
}

// actions collects what a call wants done.
type actions []coordination.Action

func (a *actions) send(to state.NodeID, msg message.Message) {
	*a = append(*a, coordination.Send{To: to, Msg: msg})
}

func (g *Guard) find(now time.Time, index uint32, key state.JobKey) []claim.Record {
	return g.claims.Find(now, index, g.idOf(key))
}

func toMessage(now time.Time, r claim.Record) message.Record {
	return message.Record{ID: r.ID, Content: r.Content, Holder: r.Holder, Age: max(0, now.Sub(r.At))}
}

func fromMessage(now time.Time, r message.Record) claim.Record {
	return claim.Record{ID: r.ID, Content: r.Content, Holder: r.Holder, At: now.Add(-r.Age)}
}

// validKey bounds what a peer can make the table store.
func validKey(key state.JobKey) bool {
	return key.ID != "" && len(key.ID) <= state.MaxIDLength && len(key.Service) <= state.MaxIDLength
}
