package main

import (
	"bytes"
	"context"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/transport/loadgen"
)

func TestTimeByLabel(t *testing.T) {
	is := is.New(t)
	var profile bytes.Buffer
	is.NoErr(pprof.StartCPUProfile(&profile))
	label("busy", func() { spin(300 * time.Millisecond) })
	pprof.StopCPUProfile()
	parts, err := timeByLabel(bytes.NewReader(profile.Bytes()), partLabel)
	is.NoErr(err)
	is.True(parts["busy"] > 0)
	is.Equal(parts["idle"], time.Duration(0))

	_, err = timeByLabel(bytes.NewReader(profile.Bytes()[:profile.Len()/2]), partLabel)
	is.True(err != nil) // cut short
	is.True(fields([]byte{0x0a, 0x7f}, nil) != nil)
}

// spin uses the processor for d of this thread's time.
func spin(d time.Duration) {
	for begin := processTime(); processTime()-begin < d; {
	}
}

// The whole command, small: it must come up, answer, agree with itself and
// leave nothing behind.
func TestSmallRunPasses(t *testing.T) {
	is := is.New(t)
	mix, err := loadgen.ParseMix("fixed", 20*time.Millisecond)
	is.NoErr(err)
	sizes, err := loadgen.ParseSizes("1-4")
	is.NoErr(err)
	s := &settings{
		agents: 3, slots: 2, loads: []int{30}, length: time.Second,
		seed: 1, mix: mix, sizes: sizes, resubmit: 0.2, dir: t.TempDir(),
	}
	passed, err := run(context.Background(), s)
	is.NoErr(err)
	is.True(passed)
	m, err := loadgen.Read(s.file("load-30", "json"))
	is.NoErr(err)
	r := m.Loads[0]
	is.True(m.Passed && m.Starts.Counted)
	is.Equal(m.Starts.Tasks, r.Tasks) // each once
	is.Equal([]int{r.Agents, r.Slots}, []int{3, 6})
}
