package link

import (
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/protocol/wire"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
)

// frameStream is what both ends of a stream have in common.
type frameStream interface {
	Send(*nodepb.Frame) error
	Recv() (*nodepb.Frame, error)
}

var (
	errGone     = errors.New("session was given up")
	errProtocol = errors.New("frame out of place")
)

// session is one stream that both sides have greeted on.
type session struct {
	peer    *peer
	stream  frameStream
	dialled bool
	// closeSend ends the dialler's half of the stream.
	closeSend func() error
	// hangUp cuts the stream; it may be called more than once.
	hangUp func()
	// peerGeneration is the peer's generation of its Hello.
	peerGeneration uint64
	// wake tells the writer that there may be something to do.
	wake chan struct{}
	// done is closed when the session has been taken from its peer.
	done chan struct{}
	// lastUsed and writeBegan are times in Unix nanoseconds. writeBegan is zero
	// while nothing is being written.
	lastUsed   atomic.Int64
	writeBegan atomic.Int64

	// The fields below are guarded by peer.mu.

	// generation is this side's generation of the Hello.
	generation uint64
	// closing says that nothing is queued for this session any more; final is
	// what it still has to write before its Closing.
	closing     bool
	leaving     bool
	closeBegan  time.Time
	final       queue
	sentClosing bool
	gotClosing  bool
	// peerLeaves says that the other side's Closing was for good.
	peerLeaves bool

	// gone says that Down was called: nothing more is delivered. Guarded by
	// peer.deliver.
	gone bool
}

func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// work is what the writer does next.
type work int

const (
	workNone work = iota
	workBatch
	workClosing
	workCloseSend
)

func (s *session) next() (work, []item) {
	p := s.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	from := &s.final
	if p.active == s {
		from = &p.queue
	}
	switch batch := from.take(); {
	case len(batch) > 0:
		return workBatch, batch
	case s.closing && !s.sentClosing:
		s.sentClosing = true
		return workClosing, nil
	case s.dialled && s.sentClosing && s.gotClosing:
		return workCloseSend, nil
	}
	return workNone, nil
}

// write writes until the session has closed its direction or is given up.
// Whatever is queued while a frame is being written goes into the next one.
func (s *session) write() {
	if !s.dialled && s.writeFrame(&nodepb.Frame{Hello: s.helloBack()}) != nil {
		s.hangUp()
		return
	}
	for {
		kind, batch := s.next()
		var err error
		switch kind {
		case workBatch:
			err = s.writeBatch(batch)
		case workClosing:
			err = s.writeFrame(&nodepb.Frame{Closing: s.closingFrame()})
		case workCloseSend:
			err = s.closeSend()
			if err == nil {
				return
			}
		case workNone:
			select {
			case <-s.wake:
			case <-s.done:
				return
			}
		}
		if err != nil {
			s.hangUp()
			return
		}
	}
}

// helloBack is written when the session is attached already, so that no break
// can come between the generation in it and the first message.
func (s *session) helloBack() *nodepb.Hello {
	s.peer.mu.Lock()
	defer s.peer.mu.Unlock()
	h := s.peer.links.hello()
	h.Generation = s.generation
	return h
}

func (s *session) closingFrame() *nodepb.Closing {
	s.peer.mu.Lock()
	defer s.peer.mu.Unlock()
	if s.leaving {
		return &nodepb.Closing{Cause: nodepb.Closing_CAUSE_LEAVING}
	}
	return &nodepb.Closing{Cause: nodepb.Closing_CAUSE_IDLE}
}

func (s *session) writeBatch(batch []item) error {
	f := &nodepb.Frame{Messages: make([]*nodepb.Envelope, len(batch))}
	size := 0
	for i := range batch {
		f.Messages[i] = batch[i].envelope
		size += batch[i].size
	}
	err := s.writeFrame(f)
	s.peer.links.account(-size)
	if err != nil {
		return err
	}
	for i := range batch {
		batch[i].sent.Inc()
	}
	s.peer.links.metrics.bytesOut.Add(float64(size))
	return nil
}

func (s *session) writeFrame(f *nodepb.Frame) error {
	now := time.Now().UnixNano()
	s.lastUsed.Store(now)
	s.writeBegan.Store(now)
	err := s.stream.Send(f)
	s.writeBegan.Store(0)
	s.peer.links.metrics.framesOut.Inc()
	return err
}

// read delivers until the stream ends and returns how it ended.
func (s *session) read() error {
	for {
		f, err := s.stream.Recv()
		if err != nil {
			return err
		}
		s.lastUsed.Store(time.Now().UnixNano())
		if err := s.receive(f); err != nil {
			return err
		}
	}
}

func (s *session) receive(f *nodepb.Frame) error {
	if f.GetHello() != nil || s.hasClosing() {
		return errProtocol
	}
	s.peer.links.metrics.framesIn.Inc()
	if err := s.deliver(f.GetMessages()); err != nil {
		return err
	}
	if c := f.GetClosing(); c != nil {
		s.takeClosing(c)
	}
	return nil
}

func (s *session) hasClosing() bool {
	s.peer.mu.Lock()
	defer s.peer.mu.Unlock()
	return s.gotClosing
}

func (s *session) deliver(envelopes []*nodepb.Envelope) error {
	p := s.peer
	m := p.links.metrics
	p.deliver.Lock()
	defer p.deliver.Unlock()
	for _, e := range envelopes {
		if s.gone {
			return errGone
		}
		m.bytesIn.Add(float64(proto.Size(e)))
		msg, err := wire.Decode(e)
		if err != nil {
			m.malformed.Inc()
			logMalformed(p.id, err)
			continue
		}
		m.received.WithLabelValues(reflect.TypeOf(msg).Name()).Inc()
		p.links.opt.Handler(p.id, msg)
	}
	return nil
}

func (s *session) takeClosing(c *nodepb.Closing) {
	p := s.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	s.gotClosing = true
	s.peerLeaves = c.GetCause() == nodepb.Closing_CAUSE_LEAVING
	p.beginCloseLocked(s, p.links.closed.Load())
	s.poke()
}
