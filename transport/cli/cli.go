// Package cli is the operator's command line. Everything it touches comes in
// through Env, so that a test drives it like a person would.
package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitRefused = 1 // refused or failed, for certain
	ExitUsage   = 2
	ExitUnknown = 3 // it may have happened
)

// Defaults of the common flags.
const (
	defaultAddr    = "127.0.0.1:7400"
	defaultTimeout = 30 * time.Second
)

// Env is what a command may touch.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Version is the software's version.
	Version string
	// Sleep waits between tries. Nil means real time.
	Sleep func(ctx context.Context, d time.Duration) error
}

// command is one subcommand.
type command struct {
	name    string
	args    string // how the arguments read in the usage
	summary string
	// least and most bound the number of arguments; most is negative for any.
	minArgs int
	maxArgs int
	// addrFlag names the flag of the entry's address; empty means addr.
	addrFlag string
	// flags adds the command's own flags to the common ones.
	flags func(*invocation)
	run   func(context.Context, *invocation) int
}

func commands() []command {
	return []command{
		{name: "apply", args: "FILE", summary: "replace an operator's declaration by a file", minArgs: 1, maxArgs: 1, flags: applyFlags, run: runApply},
		{name: "show", args: "OPERATOR", summary: "print the declaration in force", minArgs: 1, maxArgs: 1, run: runShow},
		{name: "history", args: "OPERATOR", summary: "list accepted declarations", minArgs: 1, maxArgs: 1, run: runHistory},
		{name: "diff", args: "FILE", summary: "compare a file with the declaration in force", minArgs: 1, maxArgs: 1, run: runDiff},
		{name: "drain", args: "[DOMAIN]", summary: "have nothing newly started in a failure domain, or list the failure domains", maxArgs: 1, flags: drainFlags, run: runDrain},
		{name: "undrain", args: "DOMAIN", summary: "put a drained failure domain to use again", minArgs: 1, maxArgs: 1, run: runUndrain},
		{name: "status", summary: "print what the entry knows of the system", run: runStatus},
		{name: "submit", args: "FILE", summary: "submit a job file, and wait for the answer or only until it is accepted", minArgs: 1, maxArgs: 1, flags: submitFlags, run: runSubmit},
		{name: "state", args: "SERVICE ID", summary: "print a job's state, or its results", minArgs: 2, maxArgs: 2, run: runState},
		{name: "cancel", args: "SERVICE ID", summary: "stop a job", minArgs: 2, maxArgs: 2, run: runCancel},
		{name: "check", args: "FILE...", summary: "check files without sending them", minArgs: 1, maxArgs: -1, run: runCheck},
		{name: "measure", args: "[FILE...]", summary: "carry out a plan of load on a running system, measure and check", maxArgs: -1, addrFlag: "target", flags: measureFlags, run: runMeasure},
		{name: "version", summary: "print the software's version", run: runVersion},
	}
}

// invocation is one run of a command.
type invocation struct {
	Env
	flags *flag.FlagSet
	args  []string

	addr      string
	tokenFile string
	caFile    string
	output    string
	timeout   time.Duration

	service     string
	base        int64
	maxAttempts int
	wait        bool
	showHistory bool
	measure     measureOptions
}

// Run carries out one command line, without the program's name, and returns
// the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	if len(args) == 0 || slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		usage(env.Stderr)
		return ExitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.invoke(ctx, args[1:], env)
		}
	}
	fmt.Fprintf(env.Stderr, "shallotstep: no command %q\n", args[0])
	usage(env.Stderr)
	return ExitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "Usage: shallotstep COMMAND [flags] [arguments]")
	fmt.Fprintln(w, "\nCommands:")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-24s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	fmt.Fprintln(w, "\nshallotstep COMMAND -help lists the command's flags.")
	fmt.Fprintln(w, "Exit codes: 0 done, 1 refused or failed, 2 usage, 3 unknown outcome.")
}

func (c *command) invoke(ctx context.Context, args []string, env Env) int {
	v := &invocation{Env: env}
	v.flags = flag.NewFlagSet("shallotstep "+c.name, flag.ContinueOnError)
	v.flags.SetOutput(env.Stderr)
	v.commonFlags(cmp.Or(c.addrFlag, "addr"))
	if c.flags != nil {
		c.flags(v)
	}
	v.flags.Usage = func() {
		fmt.Fprintf(env.Stderr, "Usage: shallotstep %s [flags] %s\n", c.name, c.args)
		v.flags.PrintDefaults()
	}
	if !v.parse(args) {
		return ExitUsage
	}
	if len(v.args) < c.minArgs || (c.maxArgs >= 0 && len(v.args) > c.maxArgs) {
		v.flags.Usage()
		return ExitUsage
	}
	if v.output != "text" && v.output != "json" {
		return v.usageError("-output is text or json, not %q", v.output)
	}
	ctx, cancel := context.WithTimeout(ctx, v.timeout)
	defer cancel()
	return c.run(ctx, v)
}

func (v *invocation) commonFlags(addr string) {
	v.flags.StringVar(&v.addr, addr, defaultAddr, "the entry's `address`, host:port or URL")
	v.flags.StringVar(&v.tokenFile, "token-file", "", "`file` that holds the bearer token")
	v.flags.StringVar(&v.caFile, "ca", "", "PEM `file` with the certificate authorities to trust")
	v.flags.StringVar(&v.output, "output", "text", "`format` of the output, text or json")
	v.flags.DurationVar(&v.timeout, "timeout", defaultTimeout, "how long to try, in all")
}

// parse takes flags before, between and after the arguments.
func (v *invocation) parse(args []string) bool {
	for {
		if err := v.flags.Parse(args); err != nil {
			return false
		}
		rest := v.flags.Args()
		if len(rest) == 0 {
			return true
		}
		if endsFlags(args, rest) {
			v.args = append(v.args, rest...)
			return true
		}
		v.args = append(v.args, rest[0])
		args = rest[1:]
	}
}

// ended says whether "--" closed the flags, so that an argument may begin with
// a dash.
func endsFlags(args, rest []string) bool {
	i := len(args) - len(rest) - 1
	return i >= 0 && args[i] == "--"
}

func (v *invocation) usageError(format string, args ...any) int {
	fmt.Fprintf(v.Stderr, "shallotstep: "+format+"\n", args...)
	return ExitUsage
}

// readFile returns a file's content, or the exit code when it can't be read.
func (v *invocation) readFile(name string) ([]byte, int) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, v.usageError("%v", err)
	}
	return b, ExitDone
}

// exitOf returns the exit code of an outcome.
func exitOf(o state.Outcome) int {
	switch o {
	case state.Complete:
		return ExitDone
	case state.NotRun, state.Failed:
		return ExitRefused
	}
	return ExitUnknown
}
