package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/shallotstep/shallotstep/daemon/dev"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

const (
	// startLimit bounds the start of the development system.
	startLimit = 30 * time.Second
	// stopLimit bounds its planned stop.
	stopLimit = 30 * time.Second
	// submitTries is how often -submit sends its job, under the same id.
	submitTries = 4
)

func runDev(f flags, stdout, stderr io.Writer) int {
	job, code := readJob(f.submit, stderr)
	if code != exitDone {
		return code
	}
	listener, err := net.Listen("tcp", f.httpAddr())
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	ctx, stop := signals(stopLimit)
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx.planned, startLimit)
	defer cancel()
	system, err := dev.Start(startCtx, dev.Options{HTTP: listener, Software: Software})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer func() { _ = system.Stop(ctx.forced) }()
	if f.submit != "" {
		return submit(ctx.planned, system.Addr(), job, stdout, stderr)
	}
	fmt.Fprintf(stdout, "entry: http://%s  log stand-in: %s\n", system.Addr(), system.LogURL())
	<-ctx.planned.Done()
	return exitDone
}

func (f flags) httpAddr() string {
	switch {
	case f.http != "":
		return f.http
	case f.submit != "":
		return anyPort
	}
	return defaultHTTP
}

func readJob(path string, stderr io.Writer) (api.Submission, int) {
	if path == "" {
		return api.Submission{}, exitDone
	}
	body, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return api.Submission{}, exitUsage
	}
	job, p := api.DecodeFile("", body)
	if p != nil {
		fmt.Fprintf(stderr, "%s: %s\n", path, p.Detail)
		return api.Submission{}, exitUsage
	}
	return job, exitDone
}

func submit(ctx context.Context, addr string, job api.Submission, stdout, stderr io.Writer) int {
	c, err := httpclient.New(httpclient.Options{Addr: addr})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	begin := time.Now()
	a, f := c.SubmitSettled(ctx, job, submitTries)
	elapsed := time.Since(begin)
	if f != nil {
		fmt.Fprintln(stderr, f)
		if f.Outcome == state.Unknown {
			return exitUnknown
		}
		return exitFailed
	}
	if err := json.NewEncoder(stdout).Encode(a); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	summary(stdout, a, elapsed)
	return exitDone
}

// summary prints what the answer cost: response time beside the ideal, and
// messages beside the wasted ones. The ideal is the larger of the longest task
// and the work spread evenly over all slots, with nothing else to wait for.
func summary(w io.Writer, a api.Answer, elapsed time.Duration) {
	fmt.Fprintf(w, "job %s: %s, %d results\n", a.ID, state.Outcome(a.Outcome), len(a.Results))
	s := a.Stats
	if s == nil {
		return
	}
	ideal := max(s.LongestMS, s.TotalMS/float64(dev.Slots))
	took := float64(elapsed) / float64(time.Millisecond)
	fmt.Fprintf(w, "response %.1f ms, ideal %.1f ms (%.2f times), messages %d, wasted %d\n",
		took, ideal, took/ideal, s.Messages, s.Wasted)
}
