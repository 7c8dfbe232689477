package main

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// usage is the processor time that something took.
type usage struct {
	wall time.Duration
	// process is the whole process's, by the kernel's count.
	process time.Duration
	// parts is each part's, by samples of the profile. The empty name is what
	// belongs to none, such as the garbage collector.
	parts map[string]time.Duration
}

// measure runs f under the processor profile, which it writes to a file unless
// the name is empty.
func measure(file string, f func() error) (usage, error) {
	var profile bytes.Buffer
	if err := pprof.StartCPUProfile(&profile); err != nil {
		return usage{}, errors.Wrap(err, "profile")
	}
	began, before := time.Now(), processTime()
	err := f()
	u := usage{wall: time.Since(began), process: processTime() - before}
	pprof.StopCPUProfile()
	if err != nil {
		return u, err
	}
	if file != "" {
		if err := os.WriteFile(file, profile.Bytes(), 0o644); err != nil {
			return u, errors.Wrap(err, "profile")
		}
	}
	u.parts, err = timeByLabel(&profile, partLabel)
	return u, err
}

func processTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // asking for the own usage can't fail
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// The fields of the profile format (profile.proto of pprof) that are read.
const (
	fieldSample      = 2 // of Profile
	fieldStringTable = 6
	fieldValue       = 2 // of Sample: number of samples, nanoseconds
	fieldLabel       = 3
	fieldKey         = 1 // of Label, an index into the string table
	fieldStr         = 2
	nanosecondsAt    = 1 // in the values of a sample
)

// timeByLabel adds up a processor profile's time by the values of a label. The
// pprof tool does the same with -tags; here it is wanted for each run's line.
func timeByLabel(profile io.Reader, label string) (map[string]time.Duration, error) {
	unzipped, err := gzip.NewReader(profile)
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	data, err := io.ReadAll(unzipped)
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	var samples []sample
	var table []string
	err = fields(data, func(number protowire.Number, value []byte, _ uint64) error {
		switch number {
		case fieldStringTable:
			table = append(table, string(value))
		case fieldSample:
			s, err := readSample(value)
			samples = append(samples, s)
			return err
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	out := make(map[string]time.Duration)
	for _, s := range samples {
		name := ""
		for key, str := range s.labels {
			if key < uint64(len(table)) && table[key] == label && str < uint64(len(table)) {
				name = table[str]
			}
		}
		out[name] += s.took
	}
	return out, nil
}

// sample is one stack of a profile; labels are pairs of places in the table.
type sample struct {
	took   time.Duration
	labels map[uint64]uint64
}

func readSample(data []byte) (sample, error) {
	s := sample{labels: make(map[uint64]uint64)}
	var values []uint64
	err := fields(data, func(number protowire.Number, value []byte, varint uint64) error {
		switch {
		case number == fieldValue && value == nil:
			values = append(values, varint)
		case number == fieldValue:
			return packed(value, &values)
		case number == fieldLabel:
			return s.readLabel(value)
		}
		return nil
	})
	if len(values) > nanosecondsAt {
		s.took = time.Duration(values[nanosecondsAt])
	}
	return s, err
}

func (s *sample) readLabel(data []byte) error {
	var key, str uint64
	err := fields(data, func(number protowire.Number, _ []byte, varint uint64) error {
		switch number {
		case fieldKey:
			key = varint
		case fieldStr:
			str = varint
		}
		return nil
	})
	s.labels[key] = str
	return err
}

func packed(data []byte, out *[]uint64) error {
	for len(data) > 0 {
		v, n := protowire.ConsumeVarint(data)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "profile")
		}
		*out = append(*out, v)
		data = data[n:]
	}
	return nil
}

// fields calls each for every field of a message: value holds the bytes of one
// that has a length, and is nil for a number.
func fields(data []byte, each func(number protowire.Number, value []byte, varint uint64) error) error {
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "profile")
		}
		data = data[n:]
		var value []byte
		var varint uint64
		switch kind {
		case protowire.VarintType:
			varint, n = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			value, n = protowire.ConsumeBytes(data)
		default:
			n = protowire.ConsumeFieldValue(number, kind, data)
		}
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "profile")
		}
		data = data[n:]
		if err := each(number, value, varint); err != nil {
			return err
		}
	}
	return nil
}
