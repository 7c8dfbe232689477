package guard

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// pageRecords claims make a PullReply of a few hundred kilobytes.
	pageRecords = 2048
	// maxBackoff bounds how much longer than AskRetry a pull waits between
	// rounds when nobody can help.
	maxBackoff = 64
	// firstPatience is how many times AskRetry a page is waited for at first.
	firstPatience = 8
)

// pull fetches a share's claims from one that holds them all.
type pull struct {
	// source is asked at present; candidate is its place in the list.
	source    state.NodeID
	candidate int
	// need is the watermark a source must have.
	need state.Epoch
	// after is the cursor that was asked for.
	after string
	// covers is what the source held when it sent the first page. What it has
	// learned since may stand on pages that were sent before.
	covers  coverage
	next    time.Time
	backoff int
	// patience is how many times AskRetry a page is waited for. It doubles when
	// one didn't come in time and lasts as long as the pull.
	//
	// With AskRetry itself, a source that takes longer for a page was left for
	// the next one, and its page thrown away when it came: a busy source sent
	// each page three to five times. One that is no member any more is probably
	// dead and gets AskRetry as before: after the loss of a failure domain there
	// are many of them.
	patience int
}

// needPullLocked begins a pull if this agent guards the share and lacks claims.
func (g *Guard) needPullLocked(s *share, index uint32, now time.Time, acts *actions) {
	if !s.guards(g.self) || s.complete() {
		s.pull = nil
		return
	}
	s.pull = &pull{backoff: 1, patience: firstPatience}
	g.active.add(index)
	g.askPageLocked(s, index, now, acts)
}

// sourcesLocked lists who may hold the claims that are missing, the most likely
// first: the other member, then those of the epochs the agent wasn't there for.
func (g *Guard) sourcesLocked(s *share) []state.NodeID {
	out := []state.NodeID{s.pair.Other(g.self)}
	for i := len(s.gaps) - 1; i >= 0; i-- {
		for _, id := range s.gaps[i].members {
			if id != "" && id != g.self && !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// askPageLocked asks the present candidate for the first page.
func (g *Guard) askPageLocked(s *share, index uint32, now time.Time, acts *actions) {
	sources := g.sourcesLocked(s)
	p := s.pull
	p.source = sources[p.candidate%len(sources)]
	p.need = g.pullNeed(s)
	p.after = ""
	p.covers = coverage{}
	g.sendPageAskLocked(s, index, now, acts)
}

func (g *Guard) sendPageAskLocked(s *share, index uint32, now time.Time, acts *actions) {
	wait := s.pull.backoff
	if _, member := g.roster.Load().Member(s.pull.source); member {
		wait = max(wait, s.pull.patience)
	}
	s.pull.next = now.Add(time.Duration(wait) * g.opts.AskRetry)
	acts.send(s.pull.source, message.PullAsk{
		Region: g.opts.Self.Region,
		Share:  index,
		Need:   s.pull.need,
		Lacks:  g.pullLacks(s),
		After:  s.pull.after,
	})
}

// nextSourceLocked goes on to the next candidate, more slowly after each round.
func (g *Guard) nextSourceLocked(s *share, index uint32, now time.Time, acts *actions) {
	s.pull.candidate++
	if s.pull.candidate%len(g.sourcesLocked(s)) == 0 {
		s.pull.backoff = min(2*s.pull.backoff, maxBackoff)
	}
	g.metrics.pullRetries.Inc()
	g.askPageLocked(s, index, now, acts)
}

func (g *Guard) onPullAsk(now time.Time, from state.NodeID, m message.PullAsk, acts *actions) {
	if m.Region != g.opts.Self.Region || m.Share >= roster.Shares {
		return
	}
	s := &g.shares[m.Share]
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Need > s.pair.Epoch {
		g.askRoster(now, from, acts)
	}
	c := s.coverage()
	if g.disabled.coverFence {
		c.through++
	}
	if g.disabled.coverGaps {
		c.below, c.gaps = 0, nil
	}
	reply := message.PullReply{
		Region: m.Region, Share: m.Share, After: m.After,
		Knows: c.knows, Below: c.below, Through: c.through, Gaps: c.gaps,
	}
	if c.knows < m.Need && !slices.ContainsFunc(m.Lacks, c.holds) && !g.disabled.pullFence {
		reply.Refused = true
		acts.send(from, reply)
		return
	}
	records, next, err := g.claims.Page(now, m.Share, m.After, g.page)
	if err != nil {
		return
	}
	for _, r := range records {
		reply.Records = append(reply.Records, toMessage(now, r))
	}
	reply.Next = next
	acts.send(from, reply)
}

func (g *Guard) onPullReply(now time.Time, from state.NodeID, m message.PullReply, acts *actions) {
	if m.Region != g.opts.Self.Region || m.Share >= roster.Shares {
		return
	}
	s := &g.shares[m.Share]
	s.mu.Lock()
	defer s.mu.Unlock()
	g.confirmHandoverLocked(s, m.Share, from, m.Knows)
	if m.Knows > s.pair.Epoch {
		g.askRoster(now, from, acts)
	}
	if s.pull == nil || s.pull.source != from {
		return
	}
	// A page is taken only as the answer to the cursor asked for. The last page
	// of an earlier pull would otherwise pass for a share that fits one page.
	if s.pull.after != m.After && !g.disabled.pageOrder {
		return
	}
	g.pageLocked(s, now, m, acts)
}

// pageLocked takes in a page, if its sender holds what is missing.
//
// A sender that hasn't left an epoch may still take part in a grant there, after
// it has sent the page. Only its coverage, which ends before its own epoch,
// shows that it holds all of them and that no more will come.
//
// A refusal has no records. What is needed may have changed since it was asked
// for, so it must not be weighed like a page: late, it passed for a share
// without claims, and an id that had been granted was granted again.
func (g *Guard) pageLocked(s *share, now time.Time, m message.PullReply, acts *actions) {
	c := coverageOf(&m)
	if m.Refused || m.Knows < s.pull.need && !s.helps(&c) {
		if s.pull.next.After(now) && s.pull.backoff > 1 {
			return // every candidate was asked lately: wait for Tick
		}
		g.nextSourceLocked(s, m.Share, now, acts)
		return
	}
	for _, r := range m.Records {
		g.claims.Add(now, m.Share, fromMessage(now, r))
	}
	if s.pull.after == "" {
		s.pull.covers = c
	}
	if m.Next != "" {
		s.pull.after = m.Next
		g.sendPageAskLocked(s, m.Share, now, acts)
		return
	}
	g.pulledLocked(s, m.Share, now, acts)
}

// pullNeed is the watermark a source must have: all that is missing, or, when
// nobody in a whole round had that, any part of it.
func (g *Guard) pullNeed(s *share) state.Epoch {
	if g.disabled.pullFence && len(s.gaps) > 0 {
		return s.gaps[len(s.gaps)-1].epoch
	}
	if s.pull.backoff > 1 {
		return s.knows + 1
	}
	return s.since
}

// pullLacks names the epochs to ask for when nobody in a whole round had all
// that is missing.
func (g *Guard) pullLacks(s *share) []state.Epoch {
	if s.pull.backoff > 1 {
		return s.lacks()
	}
	return nil
}

// pulledLocked has read a source's whole share.
func (g *Guard) pulledLocked(s *share, index uint32, now time.Time, acts *actions) {
	s.take(&s.pull.covers)
	if g.disabled.pullFence {
		s.learn(s.since)
	}
	if !s.complete() {
		g.nextSourceLocked(s, index, now, acts)
		return
	}
	s.pull = nil
	g.metrics.pulls.Inc()
	g.completedLocked(s, now)
}

// completedLocked has the claims that waited for the record asked again.
func (g *Guard) completedLocked(s *share, now time.Time) {
	for _, a := range s.asks {
		a.next = now
	}
}

// probeCursor asks for a watermark without claims.
const probeCursor = claim.ProbeCursor
