package roster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

// Pair is who guards the claims of one share of a region.
type Pair struct {
	Home    state.NodeID
	Witness state.NodeID
	// Epoch is the offset of the last record that changed this share's pair.
	// Records that change other shares leave it alone.
	Epoch state.Epoch
	// OK is false when the region has fewer than two agents; Home and Witness
	// are empty then.
	OK bool
}

// Has reports whether the node is one of the pair.
func (p Pair) Has(id state.NodeID) bool {
	return p.OK && (p.Home == id || p.Witness == id)
}

// Other returns the member of the pair that isn't id.
func (p Pair) Other(id state.NodeID) state.NodeID {
	if p.Home == id {
		return p.Witness
	}
	return p.Home
}

// agent is a member with its hash, shared by all rosters it stands in.
type agent struct {
	state.Member
	hash uint64
}

func newAgent(m state.Member) *agent {
	return &agent{Member: m, hash: xxhash.Sum64String(string(m.ID))}
}

// slot is a share's pair as agents. A lone agent is home without a witness.
type slot struct {
	home    *agent
	witness *agent
	epoch   state.Epoch
}

func (s slot) pair() Pair {
	if s.witness == nil {
		return Pair{Epoch: s.epoch}
	}
	return Pair{Home: s.home.ID, Witness: s.witness.ID, Epoch: s.epoch, OK: true}
}

// Constants of the splitmix64 mixing function.
const (
	mixGamma = 0x9e3779b97f4a7c15
	mixMul1  = 0xbf58476d1ce4e5b9
	mixMul2  = 0x94d049bb133111eb
)

// score is the agent's rendezvous weight for the share.
func (a *agent) score(share uint32) uint64 {
	x := a.hash + (uint64(share)+1)*mixGamma
	x = (x ^ x>>30) * mixMul1
	x = (x ^ x>>27) * mixMul2
	return x ^ x>>31
}

// before reports whether a goes before b for the share. Equal scores are
// settled by id, so that every reader settles them alike.
func (a *agent) before(b *agent, share uint32) bool {
	sa, sb := a.score(share), b.score(share)
	if sa != sb {
		return sa > sb
	}
	return a.ID < b.ID
}

// apart is how far two agents of a region stand apart: 2 in different failure
// domains, 1 in different racks of one domain, else 0.
func apart(a, b *agent) int {
	if a.Domain != b.Domain {
		return 2
	}
	if a.Rack != b.Rack {
		return 1
	}
	return 0
}

// betterWitness reports whether a is the better witness beside home than b.
func betterWitness(home, a, b *agent, share uint32) bool {
	da, db := apart(home, a), apart(home, b)
	if da != db {
		return da > db
	}
	return a.before(b, share)
}

// choose finds the pair among all agents of a region.
func choose(agents []*agent, share uint32) (home, witness *agent) {
	for _, a := range agents {
		if home == nil || a.before(home, share) {
			home = a
		}
	}
	for _, a := range agents {
		if a == home {
			continue
		}
		if witness == nil || betterWitness(home, a, witness, share) {
			witness = a
		}
	}
	return home, witness
}

// joined returns the pair after an agent came in, from the pair before alone.
func joined(s slot, a *agent, share uint32) (home, witness *agent) {
	if s.home == nil {
		return a, nil
	}
	if a.before(s.home, share) {
		return a, demote(s, a)
	}
	if s.witness == nil || betterWitness(s.home, a, s.witness, share) {
		return s.home, a
	}
	return s.home, s.witness
}

// demote picks the witness beside a new home. The old home goes before all the
// others, so it is the witness unless the old witness stands further apart.
func demote(s slot, home *agent) *agent {
	if s.witness == nil || apart(home, s.home) >= apart(s.home, s.witness) {
		return s.home
	}
	return s.witness
}
