package roster

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxUnpacked bounds what a packed snapshot grows to: some 30 times the size of
// one of 990 members. A record made to grow without end would take the process.
const maxUnpacked = 8 << 20

// pack returns a JSON string that holds the body compressed.
//
// A snapshot has to be one record, or a newcomer could put the parts of two
// together, and the log bounds a record. Names and epochs of a fleet are much
// alike. gzip ends with a checksum and a length, so one that was cut short or
// changed on its way is a bad record as a whole.
func pack(body []byte) []byte {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.DefaultCompression)
	if err != nil {
		panic(err) // only for a level that doesn't exist
	}
	_, _ = z.Write(body) // a Buffer takes everything
	_ = z.Close()
	text, err := json.Marshal(b.Bytes())
	if err != nil {
		panic(err) // bytes are always base64
	}
	return text
}

func unpack(text []byte) ([]byte, error) {
	var packed []byte
	if err := json.Unmarshal(text, &packed); err != nil {
		return nil, err
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(z, maxUnpacked+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxUnpacked:
		return nil, errors.Errorf("more than %d bytes", maxUnpacked)
	}
	return body, nil
}
