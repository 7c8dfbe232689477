package session

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// daemonPath and cliPath are the programs under test.
var daemonPath, cliPath string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "session")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, "the programs can't be built:", err)
		return 1
	}
	daemonPath = filepath.Join(dir, "shallotstepd")
	cliPath = filepath.Join(dir, "shallotstep")
	return m.Run()
}

// build builds both programs, the daemon with the race detector if the tests
// have it: a race in a daemon then shows in its standard error, which every test
// reads. The command line has little to race and would start slowly with it.
func build(dir string) error {
	if err := goBuild(dir, "../../cmd/shallotstep"); err != nil {
		return err
	}
	if raceEnabled {
		return goBuild(dir, "-race", "../../cmd/shallotstepd")
	}
	return goBuild(dir, "../../cmd/shallotstepd")
}

func goBuild(dir string, args ...string) error {
	out := dir + string(filepath.Separator)
	cmd := exec.Command("go", append([]string{"build", "-o", out}, args...)...)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}
