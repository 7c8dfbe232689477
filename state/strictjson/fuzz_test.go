package strictjson

import (
	"bytes"
	"errors"
	"testing"

	"github.com/tailscale/hujson"
)

// Checks for any input that decoding does not panic, that each error has a message
// and a line within the file, and that a file which is accepted is accepted
// without its comments too.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", /* c */ "tls": {"port": 1,}}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		var v sample
		doc, err := DecodeDocument("f.json", src, &v)
		if err != nil {
			checkErrors(t, src, err)
			return
		}
		if !doc.Has("") {
			t.Fatal("accepted a file without a value")
		}
		plain, err := hujson.Standardize(bytes.Clone(src))
		if err != nil {
			t.Fatalf("accepted, but the parser failed: %v", err)
		}
		var again sample
		if err := Decode("f.json", plain, &again); err != nil {
			t.Fatalf("accepted with comments, but not without: %v", err)
		}
	})
}

func checkErrors(t *testing.T, src []byte, err error) {
	var errs Errors
	if !errors.As(err, &errs) || len(errs) == 0 {
		t.Fatalf("the error is not of type Errors or is empty: %v", err)
	}
	lines := 1 + bytes.Count(src, []byte("\n"))
	for _, fieldErr := range errs {
		if fieldErr.Line < 1 || fieldErr.Line > lines || fieldErr.Msg == "" {
			t.Fatalf("error at line %d of %d: %q", fieldErr.Line, lines, fieldErr.Msg)
		}
	}
}
