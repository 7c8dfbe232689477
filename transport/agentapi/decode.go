package agentapi

import (
	"encoding/json"
	"io"
	"math"
	"mime"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// Limits on an announcement.
const (
	maxBodyBytes   = 64 << 10
	maxURLLength   = 1024
	maxServices    = 256
	maxSlots       = 1 << 16
	maxConnections = 1 << 16
	// MinTTL and MaxTTL bound an announcement's time to live. A longer one
	// would let the agent give work to a dead backend server for that long.
	MinTTL = 100 * time.Millisecond
	MaxTTL = time.Minute
)

// decode reads the body strictly: one JSON document, no unknown or repeated
// keys. An operator's typing error is refused, not silently ignored.
func decode(r *http.Request, doc any) (reply, bool) {
	if ct := r.Header.Get("Content-Type"); ct != "" {
		if media, _, err := mime.ParseMediaType(ct); err != nil || media != "application/json" {
			return refuse(state.ReasonMalformed, "the content type must be application/json"), false
		}
	}
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(state.ReasonTooLarge, "the body is too large"), false
	case err != nil:
		return refuse(state.ReasonMalformed, "the body could not be read"), false
	case !json.Valid(data):
		return refuse(state.ReasonMalformed, "the body is not one JSON document"), false
	}
	if err := strictjson.Decode("body", data, doc); err != nil {
		return refuse(state.ReasonMalformed, "%v", err), false
	}
	return reply{}, true
}

// backendFrom checks an announcement.
func backendFrom(id string, doc wire.Announcement) (state.Backend, error) {
	b := state.Backend{
		ID:           id,
		URL:          strings.TrimSuffix(doc.URL, "/"),
		Services:     doc.Services,
		Slots:        doc.Slots,
		Connections:  doc.Connections,
		Cores:        doc.Cores,
		MemoryMB:     doc.MemoryMB,
		Accelerators: doc.Accelerators,
	}
	if err := checkURL(doc.URL); err != nil {
		return b, err
	}
	if err := checkServices(doc.Services); err != nil {
		return b, err
	}
	if err := checkSizes(doc); err != nil {
		return b, err
	}
	if doc.TTLMS < MinTTL.Milliseconds() || doc.TTLMS > MaxTTL.Milliseconds() {
		return b, errors.Errorf("ttl_ms must be from %d to %d", MinTTL.Milliseconds(), MaxTTL.Milliseconds())
	}
	b.TTL = time.Duration(doc.TTLMS) * time.Millisecond
	return b, nil
}

func checkSizes(doc wire.Announcement) error {
	switch {
	case doc.Slots < 1 || doc.Slots > maxSlots:
		return errors.Errorf("slots must be from 1 to %d", maxSlots)
	case doc.Connections < 1 || doc.Connections > maxConnections:
		return errors.Errorf("connections must be from 1 to %d", maxConnections)
	case !(doc.Cores > 0) || math.IsInf(doc.Cores, 0):
		return errors.New("cores must be above 0")
	case doc.MemoryMB < 1:
		return errors.New("memory_mb must be above 0")
	case doc.Accelerators < 0:
		return errors.New("accelerators must not be below 0")
	}
	return nil
}

// checkURL wants an IP number: a name would make each start of a task wait for
// a resolver that may be down.
func checkURL(text string) error {
	if len(text) > maxURLLength {
		return errors.New("url is too long")
	}
	u, err := url.Parse(text)
	if err != nil {
		return errors.New("url is not a URL")
	}
	switch {
	case u.Scheme != "http" && u.Scheme != "https":
		return errors.New("url must begin with http:// or https://")
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		return errors.New("url must have no user, query or fragment")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return errors.New("url must name its host by IP number")
	}
	return nil
}

func checkServices(services []string) error {
	if len(services) == 0 || len(services) > maxServices {
		return errors.Errorf("services must name 1 to %d services", maxServices)
	}
	seen := make(map[string]bool, len(services))
	for _, s := range services {
		if s == "" || len(s) > state.MaxIDLength {
			return errors.Errorf("a service name must have 1 to %d bytes", state.MaxIDLength)
		}
		if seen[s] {
			return errors.Errorf("service %q stands twice", s)
		}
		seen[s] = true
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > state.MaxIDLength {
		return errors.Errorf("the ID must have 1 to %d bytes", state.MaxIDLength)
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return errors.New("the ID must be printable ASCII without spaces")
		}
	}
	return nil
}
