// Command shallotstepd is the daemon. It runs an entry or an agent, depending on its settings,
// or with -dev a whole system on the loopback interface to try out.
package main

import (
	"os"

	"github.com/shallotstep/shallotstep/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
