package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// answerTimeout bounds how long a caller may take to read its answer. There is
// no bound on the whole exchange, because the caller's deadline is one.
const answerTimeout = 30 * time.Second

// exchange is one HTTP request and its answer.
type exchange struct {
	w         http.ResponseWriter
	req       *http.Request
	params    httprouter.Params
	route     string
	principal principal
	// turnedAway is the outcome of an attempt that is refused before its job
	// is known. On the routes of jobs it is Unknown: an earlier attempt under
	// the same id, through another entry or with another token, may have run,
	// and "not run" would invite the caller to start it under a second id.
	refusalOutcome state.Outcome
	metrics        *metrics
	start          time.Time
	status         int
}

func (s *server) begin(w http.ResponseWriter, req *http.Request, ps httprouter.Params, route string) *exchange {
	return &exchange{
		w:              w,
		req:            req,
		params:         ps,
		route:          route,
		refusalOutcome: state.NotRun,
		metrics:        s.metrics,
		start:          time.Now(),
	}
}

func (x *exchange) end() {
	x.metrics.answered(x.route, x.status, time.Since(x.start))
	if x.req.Context().Err() != nil {
		x.metrics.disconnects.WithLabelValues(x.route).Inc()
	}
}

// refuse writes a problem document and counts it by its reason.
func (x *exchange) refuse(p *api.Problem) {
	x.metrics.refused(x.route, p.Reason, p.Outcome)
	body, err := api.EncodeDocument(p)
	if err != nil {
		panic(err) // a problem always has a JSON form
	}
	h := x.w.Header()
	if after := p.RetryAfterSeconds(); after != "" {
		h.Set("Retry-After", after)
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	x.write(p.Status, api.ContentTypeProblem, body)
}

// answer writes a document with status 200.
func (x *exchange) answer(doc any) {
	body, err := api.EncodeDocument(doc)
	if err != nil {
		panic(err) // AnswerOf has checked what callers and backend servers sent
	}
	x.write(http.StatusOK, api.ContentTypeJSON, body)
}

// internal answers when a check on the answer to a job failed.
func (x *exchange) refuseInternal(id string, o state.Outcome, err error) {
	klog.ErrorS(err, "Withheld an answer that failed its check", "route", x.route, "id", id)
	p := api.NewProblem(state.ReasonInternal, o, "%v", err)
	p.ID = id
	x.refuse(p)
}

// write sends a whole body. Its length goes out first: a connection that
// breaks in the middle then leaves the caller with an error in its hands and
// not with an answer that looks complete.
func (x *exchange) write(status int, contentType string, body []byte) {
	x.status = status
	ctl := http.NewResponseController(x.w)
	// A writer without deadlines, as in tests, is no reason to withhold the
	// answer.
	_ = ctl.SetWriteDeadline(time.Now().Add(answerTimeout))
	h := x.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Cache-Control", "no-store")
	x.w.WriteHeader(status)
	if x.req.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(body); err != nil {
		klog.V(2).InfoS("The caller went away before its answer", "route", x.route, "err", err)
	}
}
