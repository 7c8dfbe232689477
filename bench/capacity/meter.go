package main

import (
	"runtime"
	"syscall"

	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire"
)

// heap returns the bytes in use after two collections: the second takes what
// pools had kept over the first.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cost is what one event takes, on average.
type cost struct {
	micros float64
	allocs float64
}

func (c cost) minus(d cost) cost { return cost{c.micros - d.micros, c.allocs - d.allocs} }

func (c cost) over(n float64) cost { return cost{c.micros / n, c.allocs / n} }

// measure calls f n times.
func measure(n int, f func(i int)) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := processorMicros()
	for i := range n {
		f(i)
	}
	spent := processorMicros() - began
	runtime.ReadMemStats(&after)
	return cost{spent / float64(n), float64(after.Mallocs-before.Mallocs) / float64(n)}
}

// processorMicros is what this process has used, user and system together.
func processorMicros() float64 {
	u := usage()
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
}

func usage() syscall.Rusage {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return u
}

// messageOverhead is what one message costs beside its body, in bytes, as in
// bench/gossip: TCP and IP headers 40, a TLS record 22, an HTTP/2 frame 9, the
// gRPC prefix 5 and an acknowledgement of its own 40.
const messageOverhead = 116

// traffic counts messages and their bytes in wire form.
type traffic struct {
	on       bool
	messages int
	bytes    int
}

func (t *traffic) count(msg message.Message) {
	if !t.on {
		return
	}
	envelope, err := wire.Encode(msg)
	if err != nil {
		panic(err)
	}
	t.messages++
	t.bytes += proto.Size(envelope) + messageOverhead
}
