// Package daemon implements the command line of shallotstepd: it parses the flags, loads the settings
// and runs the configured role or the development system.
package daemon

import (
	"flag"
	"fmt"
	"io"
)

// Software is the program's version.
const Software = "0.2.0"

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// exitUnknown means that -submit could not learn the outcome of its job.
	exitUnknown = 3
)

type flags struct {
	version bool
	dev     bool
	quiet   bool
	submit  string
	http    string
}

const usage = `shallotstepd run -settings FILE [-check] runs an entry or an agent by its settings.
shallotstepd -dev [-http ADDRESS] [-quiet] runs a whole system on loopback to try out.
shallotstepd -dev -submit FILE runs one job on such a system, prints its answer and exits.
`

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "run" {
		return runOnPlatform(args[1:], stdout, stderr)
	}
	var f flags
	fs := flag.NewFlagSet("shallotstepd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		fmt.Fprint(stderr, usage)
		fs.PrintDefaults()
	}
	fs.BoolVar(&f.version, "version", false, "print the version and exit")
	fs.BoolVar(&f.dev, "dev", false, "run a whole system on loopback, with stand-ins for the store and the backend servers")
	fs.BoolVar(&f.quiet, "quiet", false, "with -dev: print no log lines")
	fs.StringVar(&f.submit, "submit", "", "with -dev: submit this job `file`, print its answer and a summary, and exit")
	fs.StringVar(&f.http, "http", "", "with -dev: where the entry listens (`address`, default "+defaultHTTP+"; with -submit a free port)")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(stderr, "unexpected argument %q\n", fs.Arg(0))
		return exitUsage
	}
	switch {
	case f.version:
		fmt.Fprintln(stdout, "shallotstepd", Software)
		return exitOK
	case f.dev:
		return runDev(f, stdout, stderr)
	case f.submit != "" || f.http != "" || f.quiet:
		fmt.Fprintln(stderr, "-submit, -http and -quiet require -dev")
		return exitUsage
	}
	fs.Usage()
	return exitUsage
}
