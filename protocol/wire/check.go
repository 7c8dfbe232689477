package wire

import (
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// Bounds on text, in bytes. Longer values are no names but a fault.
const (
	// MaxNameLength bounds node ids, addresses, places, attempts and tokens.
	MaxNameLength = 512
	// MaxCursorLength bounds the cursor of a paged reply, which may hold a
	// whole job key.
	MaxCursorLength = 2*state.MaxIDLength + MaxNameLength
)

// MaxEpochs bounds a list of epochs in a message.
const MaxEpochs = 1024

// checker keeps the first failed check of one message, so that conversions
// read as plain assignments.
type checker struct {
	err error
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Errorf(format, args...)
	}
}

func (c *checker) text(field, s string, most int) string {
	if len(s) > most {
		c.fail("%s: %d bytes, at most %d are allowed", field, len(s), most)
	}
	if !utf8.ValidString(s) {
		c.fail("%s: not UTF-8", field)
	}
	return s
}

func (c *checker) id(field, s string) string {
	return c.text(field, s, state.MaxIDLength)
}

func (c *checker) name(field, s string) string {
	return c.text(field, s, MaxNameLength)
}

func (c *checker) node(field string, id state.NodeID) string {
	return c.name(field, string(id))
}

func (c *checker) reason(r state.Reason) string {
	return c.id("reason", string(r))
}

// readReason takes over a peer's reason. What isn't documented here, as from a
// newer peer, is told as such: the word would be a label of metrics otherwise.
func (c *checker) readReason(s string) state.Reason {
	return state.Reason(c.id("reason", s)).Known()
}

// prose returns text for people in a form that the wire can carry.
func prose(s string) string {
	return strings.ToValidUTF8(s, string(utf8.RuneError))
}

func (c *checker) nanos(field string, d time.Duration) int64 {
	return c.count(field, int64(d))
}

func (c *checker) duration(field string, ns int64) time.Duration {
	return time.Duration(c.count(field, ns))
}

func (c *checker) count(field string, n int64) int64 {
	if n < 0 {
		c.fail("%s: %d is negative", field, n)
	}
	return n
}

// small returns n as the wire's narrow counter.
func (c *checker) small(field string, n int) uint32 {
	if n < 0 || n > math.MaxInt32 {
		c.fail("%s: %d is out of range", field, n)
		return 0
	}
	return uint32(n)
}

func (c *checker) integer(field string, n uint32) int {
	if n > math.MaxInt32 {
		c.fail("%s: %d is out of range", field, n)
		return 0
	}
	return int(n)
}

func (c *checker) cores(n float64) float64 {
	if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		c.fail("cores: %v is no number of cores", n)
	}
	return n
}

// tasks checks the length of a list that has at most one item per task.
func (c *checker) tasks(field string, n int) int {
	if n > state.MaxTasksPerJob {
		c.fail("%s: %d items, at most %d are allowed", field, n, state.MaxTasksPerJob)
		return 0
	}
	return n
}

func (c *checker) index(field string, n uint32) int {
	if n >= state.MaxTasksPerJob {
		c.fail("%s: index %d is out of range", field, n)
		return 0
	}
	return int(n)
}

func (c *checker) encodeIndex(field string, n int) uint32 {
	if n < 0 || n >= state.MaxTasksPerJob {
		c.fail("%s: index %d is out of range", field, n)
		return 0
	}
	return uint32(n)
}

func (c *checker) encodeIndexes(field string, in []int) []uint32 {
	if c.tasks(field, len(in)) == 0 {
		return nil
	}
	out := make([]uint32, len(in))
	for i, n := range in {
		out[i] = c.encodeIndex(field, n)
	}
	return out
}

func (c *checker) decodeIndexes(field string, in []uint32) []int {
	if c.tasks(field, len(in)) == 0 {
		return nil
	}
	out := make([]int, len(in))
	for i, n := range in {
		out[i] = c.index(field, n)
	}
	return out
}

func encodeDigest(d state.Digest) []byte {
	if d == (state.Digest{}) {
		return nil
	}
	return d[:]
}

func (c *checker) decodeDigest(b []byte) state.Digest {
	var d state.Digest
	if len(b) == 0 {
		return d
	}
	if len(b) != len(d) {
		c.fail("digest: %d bytes in place of %d", len(b), len(d))
		return d
	}
	copy(d[:], b)
	return d
}

// present returns nil for an empty slice: the wire doesn't tell the two apart.
func present(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}
