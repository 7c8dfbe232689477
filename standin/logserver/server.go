package logserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultAppendsPerSecond = 300
	DefaultMaxRecordBytes   = 256 << 10
	DefaultMaxWait          = 30 * time.Second
)

const (
	// maxStreams bounds memory against a caller that makes up names.
	maxStreams = 1024
	// maxNameLength bounds a stream's name, in bytes.
	maxNameLength = 128
	// defaultLimit and maxLimit bound the records of one read.
	defaultLimit = 256
	maxLimit     = 1000
	// maxReadBytes bounds the record bytes of one read; a single larger record
	// is still returned.
	maxReadBytes = 1 << 20
)

// Options configures a Server. Zero fields take the defaults.
type Options struct {
	// AppendsPerSecond limits appends over all streams; a burst of one
	// second's worth is let through.
	AppendsPerSecond int
	// MaxRecordBytes is the largest record.
	MaxRecordBytes int
	// MaxWait bounds a long poll.
	MaxWait time.Duration
	// RetentionRecords is how many records each stream keeps. Zero keeps all.
	RetentionRecords int
	// RetentionAge is how long each record is kept. Zero keeps all.
	RetentionAge time.Duration
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	router  *httprouter.Router
	opts    Options
	limiter *rate.Limiter

	mu sync.Mutex
	// streams is guarded by mu; each stream has its own lock.
	streams map[string]*stream
	// faults is guarded by mu.
	faults Faults
	// changed is closed and replaced when faults change, so that long polls
	// notice an outage; guarded by mu.
	changed chan struct{}
}

// New returns a server with no streams and no faults.
func New(opts Options) *Server {
	if opts.AppendsPerSecond <= 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if opts.MaxRecordBytes <= 0 {
		opts.MaxRecordBytes = DefaultMaxRecordBytes
	}
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	s := &Server{
		router:  httprouter.New(),
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendsPerSecond),
		streams: make(map[string]*stream),
		changed: make(chan struct{}),
	}
	s.router.POST("/v1/streams/:stream/records", s.handleAppend)
	s.router.GET("/v1/streams/:stream/records", s.handleRead)
	s.router.GET("/v1/faults", s.handleGetFaults)
	s.router.PUT("/v1/faults", s.handlePutFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Appends returns how many records a stream has ever taken in.
func (s *Server) Appends(name string) int64 {
	st := s.stream(name)
	if st == nil {
		return 0
	}
	return st.count()
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force. TruncateBelow acts once, now.
func (s *Server) SetFaults(f Faults) {
	for name, offset := range f.TruncateBelow {
		s.TruncateBelow(name, offset)
	}
	f.TruncateBelow = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// TruncateBelow drops a stream's records below an offset.
func (s *Server) TruncateBelow(name string, offset int64) {
	if st := s.stream(name); st != nil {
		st.truncateBelow(offset)
	}
}

// stream returns the named stream, making it if need be, or nil if the name is
// bad or there are too many.
func (s *Server) stream(name string) *stream {
	if !validName(name) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if ok {
		return st
	}
	if len(s.streams) >= maxStreams {
		return nil
	}
	st = newStream()
	s.streams[name] = st
	return st
}

func (s *Server) retention() retention {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := retention{records: s.opts.RetentionRecords, age: s.opts.RetentionAge}
	if s.faults.RetentionRecords != nil {
		keep.records = *s.faults.RetentionRecords
	}
	return keep
}

// takeLostReply reports whether this append's reply is to be lost.
func (s *Server) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNextReplies <= 0 {
		return false
	}
	s.faults.LoseNextReplies--
	return true
}

func (s *Server) faultsAndChange() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		ok := c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !ok {
			return false
		}
	}
	return true
}
