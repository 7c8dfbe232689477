package logserver

import (
	"sync"
	"time"
)

// entry is a record with the time it came in.
type entry struct {
	data []byte
	at   time.Time
}

// stream is one sequence of records.
type stream struct {
	mu sync.Mutex
	// first is the offset of entries[0]; guarded by mu.
	first int64
	// entries are the retained records; guarded by mu.
	entries []entry
	// grown is closed and replaced when a record comes in; guarded by mu.
	grown chan struct{}
	// appends counts records ever taken in; guarded by mu.
	appends int64
}

func newStream() *stream {
	return &stream{first: 1, grown: make(chan struct{})}
}

func (s *stream) append(data []byte, now time.Time, keep retention) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.endLocked()
	s.entries = append(s.entries, entry{data: data, at: now})
	s.appends++
	s.retainLocked(now, keep)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// read returns up to limit records from an offset, and the channel that tells
// of the next append. The offset must lie in [first, end] of the reply.
func (s *stream) read(from int64, limit, maxBytes int, now time.Time, keep retention) (ReadReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retainLocked(now, keep)
	reply := ReadReply{First: s.first, Next: from, End: s.endLocked(), Records: []Record{}}
	if from < reply.First || from > reply.End {
		return reply, s.grown
	}
	size := 0
	for _, e := range s.entries[from-s.first:] {
		size += len(e.data)
		if len(reply.Records) == limit || (size > maxBytes && len(reply.Records) > 0) {
			break
		}
		reply.Records = append(reply.Records, Record{Offset: reply.Next, Data: e.data})
		reply.Next++
	}
	return reply, s.grown
}

func (s *stream) truncateBelow(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncateLocked(offset)
}

func (s *stream) count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *stream) endLocked() int64 {
	return s.first + int64(len(s.entries))
}

func (s *stream) truncateLocked(offset int64) {
	offset = min(offset, s.endLocked())
	if offset <= s.first {
		return
	}
	s.entries = s.entries[offset-s.first:]
	s.first = offset
}

func (s *stream) retainLocked(now time.Time, keep retention) {
	if keep.records > 0 {
		s.truncateLocked(s.endLocked() - int64(keep.records))
	}
	if keep.age <= 0 {
		return
	}
	for len(s.entries) > 0 && now.Sub(s.entries[0].at) > keep.age {
		s.truncateLocked(s.first + 1)
	}
}

// retention says what a stream keeps; zero fields keep everything.
type retention struct {
	records int
	age     time.Duration
}
