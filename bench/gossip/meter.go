package main

import (
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire"
)

// messageOverhead is what one message costs beside its body, in bytes: TCP and
// IP headers 40, a TLS record 22, an HTTP/2 frame 9, the gRPC prefix 5 and an
// acknowledgement of its own 40.
const messageOverhead = 116

// meter counts bytes by node.
type meter struct {
	sent     []int
	received []int
	last     *message.LoadItem
	lastSize int
}

func (m *meter) init(nodes int) {
	m.sent = make([]int, nodes)
	m.received = make([]int, nodes)
}

func (m *meter) reset() {
	clear(m.sent)
	clear(m.received)
}

func (m *meter) count(f flight) {
	size := messageOverhead + m.body(f.msg)
	m.sent[f.from] += size
	m.received[f.to] += size
}

// body returns the size on the wire. One message often goes to several nodes.
func (m *meter) body(msg message.LoadNews) int {
	if len(msg.Loads) > 0 && m.last == &msg.Loads[0] {
		return m.lastSize
	}
	envelope, err := wire.Encode(msg)
	if err != nil {
		panic(err)
	}
	size := proto.Size(envelope)
	if len(msg.Loads) > 0 {
		m.last, m.lastSize = &msg.Loads[0], size
	}
	return size
}
