package main

import (
	"runtime"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	claimsMeasured = 100_000
	barsMeasured   = 20_000
	// claimSpan is the virtual time over which the claims come: nearly the
	// retention, so that they fill its generations evenly.
	claimSpan = retention - retention/24
	retention = claim.DefaultRetention
	shareFull = 20_000
	token     = "1a2b3"
)

// measureWitness records claims as the witness of a pair, and gives what one
// costs in time and memory.
func measureWitness(t *table) {
	for _, n := range []int{claimsMeasured / 4, claimsMeasured} {
		d := retaining()
		keys := keysOf(n, "claim", d.isWitness)
		before := heap()
		c := measure(n, func(i int) {
			d.now = d.now.Add(claimSpan / time.Duration(n))
			if i%100 == 0 {
				d.caughtUp()
			}
			d.ask(keys[i], i)
		})
		size := d.agent.Guard().Stats().Claims
		if size.Claims != n {
			panic("claims are missing")
		}
		t.add(claimName("kept of a claim", n), (heap()-before)/float64(n), "B")
		t.addCost(claimName("claim at the witness", n), c)
		runtime.KeepAlive(keys)
		runtime.KeepAlive(d)
	}
	measureBars(t)
}

func claimName(what string, n int) string {
	if n == claimsMeasured {
		return what + ", 100,000 claims"
	}
	return what + ", 25,000 claims"
}

// retaining returns an agent that keeps claims for a day.
func retaining() *daemon {
	d := newAgentKeeping(retention)
	d.join(members())
	d.declareAll()
	return d
}

// ask is a home's request for a claim.
func (d *daemon) ask(key state.JobKey, i int) {
	p := d.pair(roster.ShareOf(key))
	acts := d.Handle(d.now, p.Home, message.ClaimAsk{
		Key: key, Region: d.self.Region, Digest: state.Digest{byte(i), byte(i >> 8), byte(i >> 16)},
		Attempt: attemptOf(i), Token: token, Epoch: p.Epoch, Knows: true,
	})
	if r, ok := acts[0].(coordination.Send).Msg.(message.ClaimReply); !ok || !r.Granted {
		panic("no grant: " + string(r.Reason))
	}
}

// measureBars gives what a refused attempt leaves behind at a guard.
func measureBars(t *table) {
	d := retaining()
	keys := keysOf(barsMeasured, "bar", d.isWitness)
	before := heap()
	c := measure(barsMeasured, func(i int) {
		d.Handle(d.now, entryID, message.Bar{Key: keys[i], Attempt: attemptOf(i), Epoch: d.pair(roster.ShareOf(keys[i])).Epoch})
	})
	t.add("kept of a barred attempt", (heap()-before)/barsMeasured, "B")
	t.addCost("bar", c)
	runtime.KeepAlive(keys)
	runtime.KeepAlive(d)
}

// measurePull reads one share with many claims as an agent does that enters its
// pair, and puts them into a table.
func measurePull(t *table) {
	d := retaining()
	var share uint32
	for !d.isWitness(share) {
		share++
	}
	for i, key := range keysOf(shareFull, "pull", func(s uint32) bool { return s == share }) {
		d.now = d.now.Add(claimSpan / shareFull)
		if i%100 == 0 {
			d.caughtUp()
		}
		d.ask(key, i)
	}
	to := claim.New(retention, 1)
	var bytes traffic
	bytes.on = true
	var pages, records int
	var adds cost
	var replies []message.PullReply
	asked := measure(1, func(int) { replies = d.pullAll(share) })
	for _, r := range replies {
		pages++
		records += len(r.Records)
		bytes.count(r)
	}
	adds = measure(1, func(int) {
		for _, reply := range replies {
			for _, r := range reply.Records {
				to.Add(d.now, share, claim.Record{ID: r.ID, Content: r.Content, Holder: r.Holder, At: d.now.Add(-r.Age)})
			}
		}
	})
	if records != shareFull {
		panic("claims are missing")
	}
	t.add("share of 20,000 claims, pages", float64(pages), "")
	t.add("share of 20,000 claims, a page at its source", asked.micros/float64(pages), "us")
	t.add("a claim on the wire", float64(bytes.bytes)/float64(records), "B")
	t.add("a claim at its source", asked.micros/float64(records), "us")
	t.add("a claim at the agent that pulls", adds.micros/float64(records), "us")
}

func (d *daemon) pullAll(share uint32) []message.PullReply {
	var out []message.PullReply
	after := ""
	for {
		acts := d.Handle(d.now, d.pair(share).Home, message.PullAsk{Region: d.self.Region, Share: share, After: after})
		reply := acts[0].(coordination.Send).Msg.(message.PullReply)
		out = append(out, reply)
		if after = reply.Next; after == "" {
			return out
		}
	}
}
