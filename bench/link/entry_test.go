package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/tlsconf"
	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

// homesEnv makes this program hold the other ends; its value is the directory
// of the certificates, or "plain".
const homesEnv = "SHALLOTSTEP_BENCH_HOMES"

// homeCount is how many homes a region of the target size has.
const homeCount = 495

// TestMain lets the benchmark run the homes' ends in another process, so that
// what it reads of itself is the entry's ends alone.
func TestMain(m *testing.M) {
	if dir := os.Getenv(homesEnv); dir != "" {
		homes(dir)
		return
	}
	os.Exit(m.Run())
}

func homeID(i int) state.NodeID { return state.NodeID(fmt.Sprintf("home%d@1", i)) }

// homes serves until its input ends, and prints where.
func homes(dir string) {
	var proof *link.TLS
	if dir != "plain" {
		source, err := tlsconf.Load(tlsconf.Files{Cert: dir + "/fleet.pem", Key: dir + "/fleet-key.pem", CA: dir + "/" + devca.CAFile})
		if err != nil {
			panic(err)
		}
		proof = &link.TLS{Server: source.Server(), Client: source.Client(), FleetNames: []string{"fleet"}}
	}
	for i := range homeCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		_, err = link.New(link.Options{
			Self: homeID(i), Addr: listener.Addr().String(), Listener: listener, TLS: proof,
			Handler: func(state.NodeID, message.Message) {}, IdleTimeout: time.Hour,
		})
		if err != nil {
			panic(err)
		}
		fmt.Println(listener.Addr())
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// BenchmarkEntryEnds dials homes in another process, as an entry does, and gives
// what this end of an idle link holds. resident is what the process grew by with
// the default collector.
func BenchmarkEntryEnds(b *testing.B) {
	for _, secure := range []string{"plain", "tls"} {
		b.Run(secure, func(b *testing.B) {
			dir, proof := "plain", (*link.TLS)(nil)
			if secure == "tls" {
				dir = b.TempDir()
				proof = fleetTLSIn(b, dir)
			}
			for b.Loop() {
				benchmarkEntryEnds(b, dir, proof)
			}
		})
	}
}

func benchmarkEntryEnds(b *testing.B, dir string, proof *link.TLS) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), homesEnv+"="+dir, "GOMEMLIMIT=off")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := cmd.StdinPipe()
	check(b, err)
	output, err := cmd.StdoutPipe()
	check(b, err)
	check(b, cmd.Start())
	defer func() {
		check(b, input.Close())
		check(b, cmd.Wait())
	}()
	up := make(chan struct{}, homeCount)
	entry, err := link.New(link.Options{
		Self: "entry@1", TLS: proof, IdleTimeout: time.Hour,
		Handler: func(state.NodeID, message.Message) {},
		Up:      func(state.NodeID) { up <- struct{}{} },
	})
	check(b, err)
	lines := bufio.NewScanner(output)
	for i := range homeCount {
		if !lines.Scan() {
			b.Fatal("the homes' process ended")
		}
		entry.SetPeer(homeID(i), lines.Text())
	}
	before, resident := inUse(), residentBytes(b)
	for i := range homeCount {
		entry.Send(homeID(i), claimAsk())
	}
	for range homeCount {
		<-up
	}
	after := inUse()
	b.ReportMetric(float64(after.heap-before.heap)/homeCount, "heap-B/end")
	b.ReportMetric(float64(after.stack-before.stack)/homeCount, "stack-B/end")
	b.ReportMetric(float64(after.goroutines-before.goroutines)/homeCount, "goroutines/end")
	b.ReportMetric((residentBytes(b)-resident)/homeCount, "resident-B/end")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	check(b, entry.Close(ctx))
	runtime.KeepAlive(entry)
}

func residentBytes(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/self/statm")
	check(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	check(b, err)
	return float64(pages * os.Getpagesize())
}
