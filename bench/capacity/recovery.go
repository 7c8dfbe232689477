package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// pagesOfShare is how many pages a share of 20,000 claims has; see the part
	// "pull".
	pagesOfShare  = 10
	recoveryLimit = 2 * time.Minute
)

// measureRecovery lets one survivor of a lost failure domain pull the claims of
// the shares that it enters, and gives how long that takes and how many pages it
// asks for, by how long a living source takes to answer one. Dead sources don't
// answer.
func measureRecovery(t *table) {
	for _, latency := range []time.Duration{5, 15, 25, 50, 100, 200, 400} {
		r := newRecovery(latency * time.Millisecond)
		shares := r.incomplete()
		r.run()
		prefix := fmt.Sprintf("a page takes %d ms, ", latency)
		t.add(prefix+"shares to pull", float64(shares), "")
		t.add(prefix+"all pulled after", r.d.now.Sub(r.began).Seconds(), "s")
		t.add(prefix+"asked for each page needed", float64(r.asks)/float64(shares*pagesOfShare), "")
		t.add(prefix+"sent for each page needed", float64(r.sent)/float64(shares*pagesOfShare), "")
	}
}

type recovery struct {
	d       *daemon
	began   time.Time
	latency time.Duration
	dead    map[state.NodeID]bool
	flying  []pageOnItsWay
	asks    int
	sent    int // pages, by living sources
}

type pageOnItsWay struct {
	at    time.Time
	from  state.NodeID
	reply message.PullReply
}

// newRecovery evicts the domain that the agent doesn't stand in, all at once.
func newRecovery(latency time.Duration) *recovery {
	r := &recovery{d: newAgent(), latency: latency, dead: make(map[state.NodeID]bool)}
	r.d.join(members())
	r.began = r.d.now
	for _, m := range members() {
		if m.Region != r.d.self.Region || m.Domain == r.d.self.Domain {
			continue
		}
		r.dead[m.ID] = true
		r.d.offsets[coordination.StreamRoster]++
		record := encode(roster.Evict{NodeID: m.ID, By: r.d.self.ID})
		r.take(r.d.Record(r.d.now, coordination.StreamRoster, r.d.offsets[coordination.StreamRoster], record))
	}
	r.d.caughtUp()
	return r
}

func (r *recovery) incomplete() int { return r.d.agent.Guard().Stats().Incomplete }

func (r *recovery) run() {
	for r.incomplete() > 0 && r.d.now.Sub(r.began) < recoveryLimit {
		r.d.now = r.d.now.Add(coordination.TickInterval)
		r.arrive()
		r.take(r.d.Tick(r.d.now))
	}
}

// take answers what the agent asks of living sources, after the latency.
func (r *recovery) take(acts []coordination.Action) {
	for _, act := range acts {
		send, ok := act.(coordination.Send)
		ask, isPull := send.Msg.(message.PullAsk)
		if !ok || !isPull {
			continue
		}
		r.asks++
		if r.dead[send.To] {
			continue
		}
		r.sent++
		reply := message.PullReply{
			Region: ask.Region, Share: ask.Share, After: ask.After, Next: nextPage(ask.After),
			Knows: r.d.pair(ask.Share).Epoch,
		}
		r.flying = append(r.flying, pageOnItsWay{r.d.now.Add(r.latency), send.To, reply})
	}
}

// nextPage counts pages as the claims' table does.
func nextPage(after string) string {
	n := 0
	if after != "" {
		n, _ = strconv.Atoi(after)
	}
	if n++; n == pagesOfShare {
		return ""
	}
	return strconv.Itoa(n)
}

func (r *recovery) arrive() {
	var later []pageOnItsWay
	arrived := r.flying
	r.flying = nil
	for _, p := range arrived {
		if p.at.After(r.d.now) {
			later = append(later, p)
			continue
		}
		r.take(r.d.Handle(r.d.now, p.from, p.reply))
	}
	r.flying = append(r.flying, later...)
}
