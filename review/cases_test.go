// Package review holds the cases of an independent review. A case is a folder with a claim and a
// script that shows it.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// runVariable makes the tests run the cases. They take a minute each and need free processors, so
// by default only their files are checked.
const runVariable = "REVIEW_RUN"

// cases is the number of cases.
const cases = 3

// TestReviewCase checks that the files of each case are complete and, if runVariable is set, that
// the rule of the case holds.
func TestReviewCase(t *testing.T) {
	for n := 1; n <= cases; n++ {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			checkClaim(t, n)
			checkScript(t, n)
			if os.Getenv(runVariable) != "" {
				runCase(t, n)
			}
		})
	}
}

var claimHead = regexp.MustCompile(`^rule: [A-Z]+\nsite: [a-z-]+\nfrom: (part one|entry)\n`)

func checkClaim(t *testing.T, n int) {
	t.Helper()
	claim, err := os.ReadFile(filepath.Join(strconv.Itoa(n), "claim.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if !claimHead.Match(claim) {
		t.Errorf("the claim does not begin with its rule, site and origin: %.80q", claim)
	}
}

func checkScript(t *testing.T, n int) {
	t.Helper()
	path := filepath.Join(strconv.Itoa(n), "run.sh")
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode()&0o100 == 0 {
		t.Errorf("%s is not executable", path)
	}
	script, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(script), "review/"+strconv.Itoa(n)+"/record.txt") {
		t.Errorf("%s does not write its record to its folder", path)
	}
}

// runCase builds the daemons and the stand-ins and runs the script of a case.
func runCase(t *testing.T, n int) {
	t.Helper()
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", "target/", "./cmd/shallotstepd")
	build.Dir = ".."
	for _, c := range []*exec.Cmd{build, exec.Command("sh", "build.sh")} {
		if out, err := c.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", c, err, out)
		}
	}
	out, err := exec.Command("sh", filepath.Join(strconv.Itoa(n), "run.sh")).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Errorf("the rule was broken:\n%s", out)
	default:
		t.Fatalf("the case could not run: %v\n%s", err, out)
	}
}
