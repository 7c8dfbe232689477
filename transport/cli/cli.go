// Package cli implements the operator's command line. Its output goes through Env, so that tests
// run whole command lines.
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
	ExitRefused = 1 // refused or failed; it certainly did not succeed
	ExitUsage   = 2
	ExitUnknown = 3 // unknown outcome; it may have succeeded
)

// Defaults of the flags that all commands have.
const (
	defaultAddr    = "127.0.0.1:7400"
	defaultTimeout = 30 * time.Second
)

// Env is the environment of a command.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Version is the version of the program.
	Version string
	// Sleep waits between attempts and returns an error if ctx ends before. Nil means real
	// time.
	Sleep func(ctx context.Context, d time.Duration) error
}

// command is one subcommand.
type command struct {
	name    string
	args    string // the arguments in the usage text
	summary string
	// minArgs and maxArgs bound the number of arguments. A negative maxArgs means no limit.
	minArgs int
	maxArgs int
	// addrFlag is the name of the flag for the entry's address. Empty means addr.
	addrFlag string
	// flags, if set, registers the flags that only this command has.
	flags func(*invocation)
	run   func(context.Context, *invocation) int
}

func commands() []command {
	return []command{
		{name: "apply", args: "FILE", summary: "replace an operator's declaration by a file", minArgs: 1, maxArgs: 1, flags: applyFlags, run: runApply},
		{name: "show", args: "OPERATOR", summary: "print the declaration in force", minArgs: 1, maxArgs: 1, run: runShow},
		{name: "history", args: "OPERATOR", summary: "list accepted declarations", minArgs: 1, maxArgs: 1, run: runHistory},
		{name: "diff", args: "FILE", summary: "compare a file with the declaration in force", minArgs: 1, maxArgs: 1, run: runDiff},
		{name: "drain", args: "[DOMAIN]", summary: "start no new tasks in a failure domain, or list the failure domains", maxArgs: 1, flags: drainFlags, run: runDrain},
		{name: "undrain", args: "DOMAIN", summary: "end the drain of a failure domain", minArgs: 1, maxArgs: 1, run: runUndrain},
		{name: "status", summary: "print the state of the system as the entry knows it", run: runStatus},
		{name: "submit", args: "FILE", summary: "submit a job file, and wait for the answer or only until it is accepted", minArgs: 1, maxArgs: 1, flags: submitFlags, run: runSubmit},
		{name: "state", args: "SERVICE ID", summary: "print a job's state, or its results", minArgs: 2, maxArgs: 2, run: runState},
		{name: "cancel", args: "SERVICE ID", summary: "cancel a job", minArgs: 2, maxArgs: 2, run: runCancel},
		{name: "check", args: "FILE...", summary: "check files without sending them", minArgs: 1, maxArgs: -1, run: runCheck},
		{name: "measure", args: "[FILE...]", summary: "run a load plan against a running system, measure and check the results", maxArgs: -1, addrFlag: "target", flags: measureFlags, run: runMeasure},
		{name: "version", summary: "print the version of the program", run: runVersion},
	}
}

// invocation is one run of a command, with its flags and arguments.
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

// Run runs one command line and returns the exit code. args doesn't include the program's name.
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
	fmt.Fprintf(env.Stderr, "shallotstep: unknown command %q\n", args[0])
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
		return v.usageError("-output must be text or json, not %q", v.output)
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
	v.flags.DurationVar(&v.timeout, "timeout", defaultTimeout, "maximum time for the whole command")
}

// parse parses flags before, between and after the arguments. It returns false on an error, which
// the flag package has already printed.
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

// endsFlags reports whether the argument before rest is "--", which ends the flags, so that all
// further arguments may begin with a dash.
func endsFlags(args, rest []string) bool {
	i := len(args) - len(rest) - 1
	return i >= 0 && args[i] == "--"
}

func (v *invocation) usageError(format string, args ...any) int {
	fmt.Fprintf(v.Stderr, "shallotstep: "+format+"\n", args...)
	return ExitUsage
}

// readFile returns the content of a file, or the exit code if it can't be read.
func (v *invocation) readFile(name string) ([]byte, int) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, v.usageError("%v", err)
	}
	return b, ExitDone
}

// exitOf returns the exit code for an outcome.
func exitOf(o state.Outcome) int {
	switch o {
	case state.Complete:
		return ExitDone
	case state.NotRun, state.Failed:
		return ExitRefused
	}
	return ExitUnknown
}
