package strictjson

import (
	"bytes"
	"errors"
	"testing"

	"github.com/tailscale/hujson"
)

// Whatever a file holds, decoding ends without a panic, each fault stands at a
// line that the file has, and a file that is taken means the same to the parser
// without its comments.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", /* c */ "tls": {"port": 1,}}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		var v sample
		doc, err := DecodeDocument("f.json", src, &v)
		if err != nil {
			checkFaults(t, src, err)
			return
		}
		if !doc.Has("") {
			t.Fatal("a file was taken that has no value")
		}
		plain, err := hujson.Standardize(bytes.Clone(src))
		if err != nil {
			t.Fatalf("taken, and the parser says %v", err)
		}
		var again sample
		if err := Decode("f.json", plain, &again); err != nil {
			t.Fatalf("taken with comments and not without: %v", err)
		}
	})
}

func checkFaults(t *testing.T, src []byte, err error) {
	var faults Errors
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("the error is none of Errors: %v", err)
	}
	lines := 1 + bytes.Count(src, []byte("\n"))
	for _, fault := range faults {
		if fault.Line < 1 || fault.Line > lines || fault.Msg == "" {
			t.Fatalf("a fault at line %d of %d: %q", fault.Line, lines, fault.Msg)
		}
	}
}
