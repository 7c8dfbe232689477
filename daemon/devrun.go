package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/dev"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/asynclog"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

const (
	// startTimeout bounds the start of the development system.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the planned stop of the development system.
	stopTimeout = 10 * time.Second
	// submitAttempts is how many times -submit sends its job, each time with the same id.
	submitAttempts = 4
	// defaultHTTP is the address at which the entry of -dev listens for clients.
	defaultHTTP = "127.0.0.1:7400"
	// anyPort makes the entry of -dev -submit listen at a free port: no other process needs
	// the address, and the default port may be in use.
	anyPort = "127.0.0.1:0"
)

func runDev(f flags, stdout, stderr io.Writer) int {
	job, code := readJob(f.submit, stderr)
	if code != exitOK {
		return code
	}
	log := asynclog.New(devLogWriter(f, stderr))
	defer log.Close()
	if err := metrics.SetupLog(log); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer klog.Flush()
	listener, err := net.Listen("tcp", f.httpAddr())
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := dev.Start(startCtx, dev.Options{HTTP: listener, Software: Software})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer stopDev(system)
	if f.submit != "" {
		return submit(ctx, system.Addr(), job, stdout, stderr)
	}
	fmt.Fprintf(stdout, "entry: http://%s  backend servers: %s\n", system.Addr(), strings.Join(system.Backends(), " "))
	<-ctx.Done()
	return exitOK
}

// devLogWriter returns the destination of the log. With -submit the log is discarded, so that it does
// not mix with the answer.
func devLogWriter(f flags, stderr io.Writer) io.Writer {
	if f.submit != "" || f.quiet {
		return io.Discard
	}
	return stderr
}

func stopDev(s *dev.System) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.Stop(ctx)
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
		return api.Submission{}, exitOK
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
	return job, exitOK
}

func submit(ctx context.Context, addr string, job api.Submission, stdout, stderr io.Writer) int {
	c, err := httpclient.New(httpclient.Options{Addr: addr})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	begin := time.Now()
	a, f := c.SubmitWithRetry(ctx, job, submitAttempts)
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
	printSummary(stdout, a, elapsed)
	return exitOK
}

// printSummary prints the response time and the ideal one: the duration of the longest task, or of the
// total work spread evenly over all cores without waiting, whichever is larger.
func printSummary(w io.Writer, a api.Answer, elapsed time.Duration) {
	fmt.Fprintf(w, "job %s: %s, %d results\n", a.ID, state.Outcome(a.Outcome), len(a.Results))
	s := a.Stats
	if s == nil {
		return
	}
	ideal := max(s.LongestMS, s.CoreMS/float64(dev.TotalCores))
	took := float64(elapsed) / float64(time.Millisecond)
	fmt.Fprintf(w, "response %.1f ms, ideal %.1f ms (%.2f times)\n", took, ideal, took/ideal)
}
