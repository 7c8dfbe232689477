// Package third checks the cases of the third review, and plays them on request.
package third

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// playVariable names the environment variable with which a test plays its case. The programs have to be built
// before, as deploy/system.toml and review/build-3.sh do.
const playVariable = "SHALLOTSTEP_REVIEW_PLAY"

const firstCase, lastCase = 9, 13

// rules has the rules of the pages that a case may name.
var rules = []string{"LOST", "TWICE", "CONFIG", "RECOVER", "LIMIT", "ORDER", "ROUTE", "BUDGET", "UNASKED", "REFUSED", "AVAIL", "MIXED", "ONE", "DRAIN", "EVAC", "GANG", "HARM"}

// Checks that the files of each case are complete and well formed. With the variable set it plays the case,
// and fails if the rule is broken.
func TestThirdReviewCase(t *testing.T) {
	found := 0
	for n := firstCase; n <= lastCase; n++ {
		dir := filepath.Join("..", strconv.Itoa(n))
		if _, err := os.Stat(dir); err != nil {
			continue
		}
		found++
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			checkClaim(t, filepath.Join(dir, "claim.txt"))
			checkScript(t, filepath.Join(dir, "run.sh"))
			if os.Getenv(playVariable) != "" {
				play(t, filepath.Join(dir, "run.sh"))
			}
		})
	}
	if found == 0 {
		t.Error("there are no cases")
	}
}

func checkClaim(t *testing.T, path string) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(b), "\n")
	if len(lines) < 6 {
		t.Fatalf("%s has only %d lines", path, len(lines))
	}
	rule, ok := strings.CutPrefix(lines[0], "rule: ")
	if known := bytes.Contains([]byte(" "+strings.Join(rules, " ")+" "), []byte(" "+rule+" ")); !ok || !known {
		t.Errorf("%s: the first line is %q", path, lines[0])
	}
	if site, ok := strings.CutPrefix(lines[1], "site: "); !ok || site == "" {
		t.Errorf("%s: the second line is %q", path, lines[1])
	}
	if from, ok := strings.CutPrefix(lines[2], "from: "); !ok || from != "part one" && from != "entry" {
		t.Errorf("%s: the third line is %q", path, lines[2])
	}
}

func checkScript(t *testing.T, path string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode()&0o111 == 0 {
		t.Errorf("%s can't be executed", path)
	}
	if out, err := exec.Command("sh", "-n", path).CombinedOutput(); err != nil {
		t.Errorf("%s: %v: %s", path, err, out)
	}
}

func play(t *testing.T, path string) {
	t.Helper()
	out, err := exec.Command("sh", path).CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Errorf("%s: %v", path, err)
	}
}
