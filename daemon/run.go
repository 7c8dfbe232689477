package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/julienschmidt/httprouter"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/agent"
	"github.com/shallotstep/shallotstep/daemon/budget"
	"github.com/shallotstep/shallotstep/daemon/clients"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/entry"
	"github.com/shallotstep/shallotstep/daemon/memlimit"
	"github.com/shallotstep/shallotstep/platform"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/asynclog"
	"github.com/shallotstep/shallotstep/transport/guard"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

const (
	// preStopDelay is how long a stopping entry continues to serve while it reports that it is
	// not ready: the load balancer checks once a second and removes it after two failures.
	preStopDelay = 2500 * time.Millisecond
	// connCloseDelay is how long the entry then closes each connection with its response, before
	// it shuts the listener down.
	connCloseDelay = 1500 * time.Millisecond
	// exitReserve is the part of the grace period that is kept for the exit of the process.
	exitReserve = 500 * time.Millisecond
)

// runOnPlatform implements `shallotstepd run`: it runs a role with the platform's store and returns
// the exit code.
func runOnPlatform(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("shallotstepd run", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("settings", "", "the settings `file`")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Fprintf(stdout, "the settings of %s %s are valid\n", s.Role, s.Name)
		return exitOK
	}
	log := asynclog.New(stdout)
	defer log.Close()
	if err := metrics.SetupLog(log); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer klog.Flush()
	memory := memlimit.Set(budget.Of(s.Limits).RuntimeBytes)
	defer memory.Stop()
	klog.InfoS("Starting", "role", s.Role, "name", s.Name, "zone", s.Domain, "version", Software)
	if err := runRole(s, *path); err != nil {
		klog.ErrorS(err, "The role failed")
		return exitFailed
	}
	klog.InfoS("Stopped", "name", s.Name)
	return exitOK
}

// runRole runs the role of the settings until it is stopped by SIGTERM or SIGINT.
func runRole(s *settings.Settings, path string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	go core.WatchSettings(ctx, path)
	if s.Role == settings.RoleEntry {
		return runEntry(ctx, cancel, s, stop)
	}
	return runAgent(ctx, cancel, s, stop)
}

// operatorDrains reads the drains of the platform's operators.
var operatorDrains = core.DrainSource{Partition: platform.ConfigPartition, Decode: platform.DecodeDrain}

func runEntry(ctx context.Context, cancel context.CancelFunc, s *settings.Settings, stop <-chan os.Signal) error {
	e := entry.New(s, platform.NewStore(s.Store.Address), platform.ConfigPartition, platform.DecodeConfig, operatorDrains)
	var stopping, closing atomic.Bool
	b := budget.Of(s.Limits)
	pool := guard.NewPool(b.RequestBytes)
	go pool.Run(ctx)
	clientListener, err := pool.Listen(s.Listen.Clients, guard.Options{Name: "clients", MaxConns: b.Clients, Limits: func() guard.Limits { return clientLimits(e.Table()) }})
	if err != nil {
		return err
	}
	front := clientListener.Serve(platform.NewClientHandler(e, closing.Load))
	ready, err := serveHTTP(pool, s.Listen.Ready, guard.Options{Name: "ready", MaxConns: b.Ready}, platform.NewReadinessHandler(func() bool { return !stopping.Load() && e.Ready() }))
	if err != nil {
		return err
	}
	serveMetrics(pool, b.Metrics, &s.Listen, e.Metrics())
	if s.Listen.API != "" {
		if _, err := serveHTTP(pool, s.Listen.API, guard.Options{Name: "api", MaxConns: b.API}, newAPI(ctx, e, s)); err != nil {
			return err
		}
	}
	go func() {
		sig := <-stop
		klog.InfoS("Received a signal, starting the planned stop", "signal", sig.String())
		stopping.Store(true)
		time.Sleep(preStopDelay)
		closing.Store(true)
		clientListener.EndUnfinished()
		time.Sleep(connCloseDelay)
		shutdownCtx, cancelShutdown := context.WithTimeout(ctx, max(s.Bounds.Grace-preStopDelay-connCloseDelay-exitReserve, exitReserve))
		defer cancelShutdown()
		if err := front.Shutdown(shutdownCtx); err != nil {
			klog.InfoS("Requests were still in progress at the end of the planned stop", "err", err)
		}
		cancel()
	}()
	err = e.Run(ctx)
	if closeErr := ready.Close(); closeErr != nil {
		klog.V(1).InfoS("The readiness listener could not be closed", "err", closeErr)
	}
	return err
}

// clientLimits returns the limits on clients that the configuration sets; t is nil while there is none.
func clientLimits(t *routing.Table) guard.Limits {
	if t == nil {
		return guard.Limits{}
	}
	return guard.Limits{HeaderBytes: t.MaxHeaderBytes, HeaderTimeout: t.HeaderTimeout, IdleTimeout: t.IdleTimeout}
}

// newAPI returns the handler of the project's own HTTP API for an entry of the platform, and follows
// the declarations until ctx ends. The declarations have a partition of their own, apart from the
// platform's configuration.
func newAPI(ctx context.Context, e *entry.Entry, s *settings.Settings) http.Handler {
	st := platform.NewStore(s.Store.Address)
	d := clients.NewDeclarations(st, s.Name)
	go core.Follow(ctx, st, clients.DeclarationsPartition, core.ConfigWait(s), "declarations", func(r store.Record) {
		if _, err := d.Decode(r); err != nil {
			klog.ErrorS(err, "Skipped a malformed declaration")
		}
	})
	return clients.New(e, d, nil, s.Name, Software, 1).Handler()
}

func runAgent(ctx context.Context, cancel context.CancelFunc, s *settings.Settings, stop <-chan os.Signal) error {
	a := agent.New(s, platform.NewStore(s.Store.Address), operatorDrains, func(fencingToken int64) agent.BackendClient {
		return platform.NewBackendClient(s.Server.Address, fencingToken)
	})
	b := budget.Of(s.Limits)
	pool := guard.NewPool(b.RequestBytes)
	go pool.Run(ctx)
	if _, err := serveHTTP(pool, s.Listen.Reports, guard.Options{Name: "reports", MaxConns: b.Reports}, platform.NewReportHandler(a)); err != nil {
		return err
	}
	links, err := pool.Listen(s.Listen.Links, guard.Options{Name: "links", MaxConns: b.Links, Streams: true})
	if err != nil {
		return err
	}
	serveMetrics(pool, b.Metrics, &s.Listen, a.Metrics())
	go func() {
		sig := <-stop
		klog.InfoS("Received a signal, starting the planned stop", "signal", sig.String())
		drainCtx, cancelDrain := context.WithTimeout(ctx, s.Bounds.Grace-exitReserve)
		defer cancelDrain()
		a.Drain(drainCtx)
		cancel()
	}()
	return a.Serve(ctx, links)
}

// serveHTTP listens at addr and serves h in the background. It returns an error if it can't listen.
func serveHTTP(p *guard.Pool, addr string, o guard.Options, h http.Handler) (*http.Server, error) {
	l, err := p.Listen(addr, o)
	if err != nil {
		return nil, err
	}
	return l.Serve(h), nil
}

// serveMetrics serves the metrics, if their address is set, and profiles, if they are enabled. An error
// is only logged, since the process can work without them.
func serveMetrics(p *guard.Pool, conns int, l *settings.Listen, h http.Handler) {
	if l.Metrics == "" {
		return
	}
	if _, err := serveHTTP(p, l.Metrics, guard.Options{Name: "metrics", MaxConns: conns}, metricsHandler(l.Profiles, h)); err != nil {
		klog.ErrorS(err, "The metrics are not served", "addr", l.Metrics)
	}
}

// metricsHandler serves the metrics at /metrics, and profiles under /debug/pprof/ if they are enabled.
// Profiles are optional because taking one uses a core meanwhile, and because they reveal details of
// the code to every client that reaches the address.
func metricsHandler(profiles bool, h http.Handler) http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, "/metrics", h)
	if profiles {
		r.HandlerFunc(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
		r.HandlerFunc(http.MethodGet, "/debug/pprof/trace", pprof.Trace)
		for _, name := range []string{"heap", "goroutine", "mutex", "block", "allocs"} {
			r.Handler(http.MethodGet, "/debug/pprof/"+name, pprof.Handler(name))
		}
	}
	return r
}
