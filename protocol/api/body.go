package api

import (
	"encoding/json"
	"strconv"
	"time"
)

// Body returns the submission as the body of a POST request. Payloads are copied
// byte for byte: the digest covers their bytes, so a resubmission with another
// encoding of the same value would be refused as an id conflict.
func (s *Submission) Body() []byte {
	b := append([]byte(nil), `{"id":`...)
	b = appendString(b, s.Job.Key.ID)
	b = appendMillis(b, "deadline_ms", s.Deadline)
	if s.Kind == KindRequest {
		b = append(b, `,"repeatable":`...)
		b = strconv.AppendBool(b, s.Job.Repeatable)
		b = append(b, `,"task":`...)
		b = s.appendTask(b, 0)
		return append(b, '}')
	}
	b = append(b, `,"tasks":[`...)
	for i := range s.Job.Tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = s.appendTask(b, i)
	}
	return append(b, "]}"...)
}

func (s *Submission) appendTask(b []byte, i int) []byte {
	t := &s.Job.Tasks[i]
	b = append(b, `{"payload":`...)
	b = append(b, t.Payload...)
	if t.Cores != 0 {
		b = append(b, `,"cores":`...)
		b = strconv.AppendFloat(b, t.Cores, 'g', -1, 64)
	}
	b = appendInt(b, "memory_mb", t.MemoryMB)
	b = appendInt(b, "accelerators", t.Accelerators)
	b = appendMillis(b, "expected_ms", t.Expected)
	return append(b, '}')
}

func appendMillis(b []byte, name string, d time.Duration) []byte {
	return appendInt(b, name, d.Milliseconds())
}

// appendInt appends an integer field. It omits zero, which means that the
// caller did not set the field.
func appendInt(b []byte, name string, n int64) []byte {
	if n == 0 {
		return b
	}
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":`...)
	return strconv.AppendInt(b, n, 10)
}

func appendString(b []byte, s string) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // marshalling a string never fails
	}
	return append(b, text...)
}
