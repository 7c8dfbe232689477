package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/examples"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

const (
	region  = "jeonbuk"
	service = "bench-desk"
	// startLimit is how long a fleet may take to know all of itself.
	startLimit  = 2 * time.Minute
	settleEvery = 200 * time.Millisecond
	// settleAfter lets what a start brings with it pass before the measurement.
	settleAfter = 5 * time.Second
	// certificateLife is longer than any run.
	certificateLife = time.Hour
)

// The roles, as in settings files.
const (
	roleLog   = "standin-log"
	roleEntry = "entry"
	roleAgent = "agent"
)

var domains = []string{"jeonju", "iksan", "gunsan"}

// fleet is what one run has started.
type fleet struct {
	opts      *settings
	dir       string
	logURL    string
	tls       map[string]any
	processes []*process
	backends  []*backendserver.Server
	entry     *httpclient.Client
	entryAddr string
}

// startFleet returns a fleet whose entry knows every slot, or what there is of
// it and an error. It must be stopped either way.
func startFleet(ctx context.Context, s *settings, dir string, n int) (*fleet, error) {
	f := &fleet{opts: s, dir: dir}
	// One for the log and the entry, two for each agent.
	ports, err := freePorts(2 + 2*n)
	if err != nil {
		return f, err
	}
	if err := f.makeCertificates(); err != nil {
		return f, err
	}
	f.logURL = "http://" + ports[0]
	f.entryAddr = ports[1]
	if err := f.startDaemons(ports); err != nil {
		return f, err
	}
	if f.entry, err = httpclient.New(httpclient.Options{Addr: f.entryAddr}); err != nil {
		return f, err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.startBackends(ctx, ports[2:]); err != nil {
		return f, err
	}
	return f, f.settle(ctx, n)
}

func (f *fleet) startDaemons(ports []string) error {
	err := f.start(roleLog, 0, "", map[string]any{"listen": map[string]any{"http": ports[0]}})
	if err != nil {
		return err
	}
	for i := 2; i < len(ports); i += 2 {
		more := map[string]any{"listen": map[string]any{"http": ports[i], "peer": ports[i+1]}}
		if err := f.start(roleAgent, (i-2)/2, ports[i], more); err != nil {
			return err
		}
	}
	more := map[string]any{"listen": map[string]any{"http": f.entryAddr}}
	return f.start(roleEntry, 0, f.entryAddr, more)
}

// start writes the settings of a daemon and runs it.
func (f *fleet) start(role string, i int, http string, file map[string]any) error {
	file["role"] = role
	file["name"] = nameOf(role, i)
	if role != roleLog {
		file["region"] = region
		file["failure_domain"] = domains[i%len(domains)]
		file["log"] = map[string]any{"url": f.logURL}
		if f.tls != nil {
			file["tls"] = f.tls
		}
		file["limits"] = f.opts.limits(role)
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	path := filepath.Join(f.dir, nameOf(role, i)+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	p, err := startProcess(f.dir, f.opts.keepLogsAt, role, http, path)
	if err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}

// limits returns the daemons' limits that the flags name.
func (s *settings) limits(role string) map[string]any {
	limits := make(map[string]any)
	if s.memoryMB >= 0 {
		limits["memory_mb"] = s.memoryMB
	}
	if s.processors >= 0 && role == roleAgent {
		limits["processors"] = s.processors
	}
	return limits
}

// makeCertificates lets all daemons share one certificate.
func (f *fleet) makeCertificates() error {
	if !f.opts.secure {
		return nil
	}
	ca, err := devca.New(time.Now())
	if err != nil {
		return err
	}
	if err := ca.Write(f.dir); err != nil {
		return err
	}
	pair, err := ca.Leaf(time.Now(), certificateLife, []string{"fleet"})
	if err != nil {
		return err
	}
	cert, key, err := pair.Write(f.dir, "fleet")
	f.tls = map[string]any{"cert": cert, "key": key, "ca": filepath.Join(f.dir, devca.CAFile), "fleet_names": []string{"fleet"}}
	return err
}

// startBackends starts a stand-in beside each agent, in this process: figures of
// the daemons have no part of them.
func (f *fleet) startBackends(ctx context.Context, ports []string) error {
	for i := 0; i < len(ports); i += 2 {
		b := backendserver.New(backendserver.Options{
			Services: []string{service},
			Slots:    f.opts.slots,
			AgentURL: "http://" + ports[i],
		})
		if err := b.Start(ctx); err != nil {
			return err
		}
		f.backends = append(f.backends, b)
	}
	return nil
}

// settle applies the example declaration and waits until the entry knows every
// slot.
func (f *fleet) settle(ctx context.Context, agents int) error {
	applied := false
	for {
		if !applied {
			_, failure := f.entry.Apply(ctx, examples.HaneulOperator, 0, examples.HaneulDeclaration)
			applied = failure == nil
		}
		doc, failure := f.entry.Status(ctx)
		if failure == nil && applied && doc.Ready && len(doc.Roster) == agents && len(doc.Agents) == agents {
			httpclient.Sleep(ctx, settleAfter)
			return nil
		}
		for _, p := range f.processes {
			if p.ended() {
				return errors.Errorf("a daemon of role %s ended", p.role)
			}
		}
		if httpclient.Sleep(ctx, settleEvery) != nil {
			return errors.Errorf("the entry knows %d of %d agents", len(doc.Agents), agents)
		}
	}
}

// stop ends the entry first, so that nothing new comes in, and the log last.
func (f *fleet) stop() {
	for _, role := range []string{roleEntry, roleAgent, roleLog} {
		if role == roleAgent {
			f.stopBackends()
		}
		var wg sync.WaitGroup
		for _, p := range f.processes {
			if p.role == role {
				wg.Go(p.stop)
			}
		}
		wg.Wait()
	}
}

func (f *fleet) stopBackends() {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	for _, b := range f.backends {
		if err := b.Close(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "a stand-in backend server:", err)
		}
	}
}
