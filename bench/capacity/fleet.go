package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/roster"
)

// The target size.
const (
	agents          = 990
	regions         = 2
	domains         = 2 // of a region
	hostsPerRack    = 20
	operators       = 280
	servicesEach    = 4
	changesPerDay   = 2200
	slots           = 8
	firstOffset     = 1
	virtualStart    = 1_000_000
	announceEvery   = time.Second
	announcementTTL = 3 * time.Second
)

var start = time.Unix(virtualStart, 0)

// members lists the fleet. Neighbours in the list stand in different regions.
func members() []state.Member {
	out := make([]state.Member, agents)
	for i := range out {
		out[i] = newMember(i)
	}
	return out
}

func newMember(i int) state.Member {
	region := i % regions
	return state.Member{
		ID:     state.NodeID(fmt.Sprintf("agent-%04d@dc86aohksdufec1987q0", i)),
		Addr:   fmt.Sprintf("10.%d.%d.%d:7401", region, i/250, i%250),
		Region: regionName(region),
		Domain: fmt.Sprintf("domain-%d", i/regions%domains),
		Rack:   fmt.Sprintf("rack-%d", i/hostsPerRack),
	}
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// encode returns a roster record as it is read from the log: bytes of its own.
func encode(r roster.Record) []byte {
	data, err := roster.Encode(r)
	if err != nil {
		panic(err)
	}
	return bytes.Clone(data)
}

// applyRecord encodes an apply of an operator with servicesEach services.
func applyRecord(operator, change int, base state.Version) []byte {
	name := operatorName(operator)
	var services strings.Builder
	for i := range servicesEach {
		fmt.Fprintf(&services, `
    {
      // Photo assessments, restoration quotes and reservations.
      "name": %q,
      "region": %q,
      "task_defaults": {"cores": 1, "memory_mb": 512, "expected_ms": 300},
      "max_tasks": 1000,
      "deadline_ms": 20000,
      "repeatable": false,
    },`, serviceName(operator, i), regionName(operator%regions))
	}
	rec := declaration.Record{
		Kind: declaration.KindApply, Operator: name, Base: base,
		ApplyID: fmt.Sprintf("entry-0001@dc86aohksdufec1987q0-%d-%d", operator, change),
		File: fmt.Sprintf(`{
  // Change %d.
  "operator": %q,
  "priority": 60,
  "quota": {"tasks_in_flight": 900000, "tasks_per_second": 100000},
  "services": [%s
  ],
}
`, change, name, services.String()),
	}
	data, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	return bytes.Clone(data)
}

func operatorName(i int) string { return fmt.Sprintf("operator-%03d", i) }

func serviceName(operator, i int) string {
	return fmt.Sprintf("%s-service-%d", operatorName(operator), i)
}

// loadOf is what an agent says of itself. It serves a few services.
func loadOf(m state.Member, seq uint64) state.AgentLoad {
	return state.AgentLoad{
		ID: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain, Rack: m.Rack,
		Seq: seq, Services: servicesOf(m), Slots: slots, Free: slots,
		Cores: 16, MemoryMB: 65536, Accelerators: 2,
	}
}

// servicesOf are those of one operator of the region.
func servicesOf(m state.Member) []string {
	operator := 0
	if m.Region != regionName(0) {
		operator = 1
	}
	out := make([]string, servicesEach)
	for i := range out {
		out[i] = serviceName(operator, i)
	}
	return out
}

// news packs loads as messages of a page each.
func news(list []state.Member, seq uint64) []message.LoadNews {
	const page = 64
	var out []message.LoadNews
	for i, m := range list {
		if i%page == 0 {
			out = append(out, message.LoadNews{})
		}
		last := &out[len(out)-1]
		last.Loads = append(last.Loads, message.LoadItem{Load: loadOf(m, seq), Beat: 1})
	}
	return out
}
