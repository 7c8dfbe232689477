// Package watch derives from the roster who watches whom. Every node computes
// the same answer from the same roster, so nobody has to agree on it.
//
// Agents watch agents of their own region only: a pair never spans regions, so
// nobody outside needs to know that one of them is gone, and regions that lose
// each other for minutes can't evict each other.
package watch

import "github.com/shallotstep/shallotstep/state"

// Grouping says which members of a region fail together: those of one failure
// domain; where there is only one domain, those of one rack; where there is
// only one rack, each stands alone. It is the rule by which pairs are spread.
type Grouping uint8

const (
	byDomain Grouping = iota
	byRack
	byMember
)

// GroupingOf returns the grouping of the members of one region.
func GroupingOf(members []state.Member) Grouping {
	racks := false
	for i := range members {
		if members[i].Domain != members[0].Domain {
			return byDomain
		}
		racks = racks || members[i].Rack != members[0].Rack
	}
	if racks {
		return byRack
	}
	return byMember
}

// Group returns the name of the member's group, unique within its region.
func (g Grouping) Group(m *state.Member) string {
	switch g {
	case byDomain:
		return m.Domain
	case byRack:
		return m.Rack
	default:
		return string(m.ID)
	}
}

// InRegion returns the members that stand in the region.
func InRegion(members []state.Member, region string) []state.Member {
	out := make([]state.Member, 0, len(members))
	for i := range members {
		if members[i].Region == region {
			out = append(out, members[i])
		}
	}
	return out
}
