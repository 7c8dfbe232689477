package session

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// transcript records a session as a person would see it.
type transcript struct {
	t testing.TB
	b strings.Builder
}

// note adds a remark, such as a count that only the stand-ins know.
func (tr *transcript) note(format string, args ...any) {
	fmt.Fprintf(&tr.b, "# "+format+"\n\n", args...)
}

// cli runs shallotstep against an entry, in the folder of the test data.
func (tr *transcript) cli(p *process, command string, args ...string) {
	tr.t.Helper()
	shown := append([]string{"shallotstep", command}, args...)
	real := append([]string{command, "-addr", p.http}, args...)
	fmt.Fprintf(&tr.b, "%s$ %s\n", p.name, strings.Join(shown, " "))
	tr.run(cliPath, real)
}

// daemon runs shallotstepd to its end.
func (tr *transcript) daemon(shown string, args ...string) {
	tr.t.Helper()
	fmt.Fprintf(&tr.b, "$ shallotstepd %s\n", shown)
	tr.run(daemonPath, args)
}

func (tr *transcript) run(path string, args []string) {
	tr.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Dir = "testdata"
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		tr.t.Fatalf("%s: %v", path, err)
	}
	tr.lines("", stdout.String())
	tr.lines("stderr: ", stderr.String())
	fmt.Fprintf(&tr.b, "exit %d\n\n", cmd.ProcessState.ExitCode())
}

func (tr *transcript) lines(prefix, text string) {
	if text == "" {
		return
	}
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\n"), "\n") {
		tr.b.WriteString(prefix + line + "\n")
	}
}

// longBody is where the transcript cuts a request's body.
const longBody = 300

// call makes an HTTP call and records it.
func (tr *transcript) call(c *client, who, method, path, body string, header ...string) reply {
	r := c.do(context.Background(), method, path, body, header...)
	tr.record(who, method, path, body, header, r)
	return r
}

func (tr *transcript) record(who, method, path, body string, header []string, r reply) {
	fmt.Fprintf(&tr.b, "%s> %s %s\n", who, method, path)
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&tr.b, "> %s: %s\n", header[i], header[i+1])
	}
	if len(body) > longBody {
		body = fmt.Sprintf("%s... (%d bytes)", body[:longBody], len(body))
	}
	tr.lines("> ", body)
	if r.err != nil {
		tr.t.Errorf("%s %s: %v", method, path, r.err)
		return
	}
	fmt.Fprintf(&tr.b, "< %d\n", r.status)
	for _, name := range []string{"Content-Type", "Etag", "Retry-After", "Allow", "Www-Authenticate"} {
		if v := r.header.Get(name); v != "" {
			fmt.Fprintf(&tr.b, "< %s: %s\n", name, v)
		}
	}
	tr.lines("< ", r.body)
	tr.b.WriteString("\n")
}

// normal replaces what differs from run to run.
var normal = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`@[0-9a-v]{20}`), "@ID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:PORT"},
	{regexp.MustCompile(`"(messages|wasted)":\d+`), `"$1":N`},
	{regexp.MustCompile(`"((?:longest|total|elapsed|silent|age)_ms)":[\d.]+`), `"$1":T`},
	{regexp.MustCompile(`elapsed [\d.]+ ms, longest task [\d.]+ ms, \d+ messages, \d+ wasted`), "elapsed T ms, longest task T ms, N messages, N wasted"},
	{regexp.MustCompile(`last read \d+ ms ago`), "last read T ms ago"},
	{regexp.MustCompile(`in time \(by \d+ ms\)`), "in time (by T ms)"},
	{regexp.MustCompile(`\d+ ms old`), "T ms old"},
	// Offsets of the roster: a join may be repeated after a slow reply.
	{regexp.MustCompile(`roster: next offset \d+`), "roster: next offset N"},
	{regexp.MustCompile(`"stream":"roster","next":\d+`), `"stream":"roster","next":N`},
	{regexp.MustCompile(`epoch \d+`), "epoch N"},
	{regexp.MustCompile(`"epoch":\d+`), `"epoch":N`},
	{regexp.MustCompile(`"running":\d+`), `"running":N`},
}

func (tr *transcript) normalised() string {
	text := tr.b.String()
	for _, n := range normal {
		text = n.pattern.ReplaceAllString(text, n.with)
	}
	return sortAgents(text)
}

// agentLine is an agent's line of the status, which lists them in no order.
var agentLine = regexp.MustCompile(`^  agent-\d@ID +slots `)

// sortAgents orders each block of agents' lines.
func sortAgents(text string) string {
	lines := strings.Split(text, "\n")
	for from := 0; from < len(lines); from++ {
		to := from
		for to < len(lines) && agentLine.MatchString(lines[to]) {
			to++
		}
		slices.Sort(lines[from:to])
		from = max(from, to-1)
	}
	return strings.Join(lines, "\n")
}

// compare holds the transcript against a golden file, or writes it.
func (tr *transcript) compare(name string) {
	tr.t.Helper()
	path := filepath.Join("testdata", name)
	got := tr.normalised()
	if *update {
		writeFile(tr.t, path, []byte(got))
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tr.t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
		tr.t.Errorf("the session differs from %s (- golden, + now):\n%s", path, diff)
	}
}
