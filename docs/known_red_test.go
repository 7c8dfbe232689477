package docs_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// knownRedSample makes the subtests of TestKnownRedSample run.
const knownRedSample = "SHALLOTSTEP_KNOWN_RED_SAMPLE"

func TestKnownRedSample(t *testing.T) {
	if os.Getenv(knownRedSample) == "" {
		t.Skip("only a sample for TestKnownRedPatternMatchesExactlyItsEntries")
	}
	for _, name := range []string{"seed=30", "seed=303", "usual/1.1", "usual/1x1"} {
		t.Run(name, func(*testing.T) {})
	}
}

// TestKnownRedPatternMatchesExactlyItsEntries guards against a CI that passes over other tests than
// those of KNOWN-RED.txt, or over none for a subtest.
func TestKnownRedPatternMatchesExactlyItsEntries(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	entries := "TestKnownRedSample/seed=303: go test, seed 303; seen: once; issue 1\n\n" +
		"TestKnownRedSample/usual/1.1: go test; issue 1\n" +
		"TestOther: go test; issue 1\n" +
		"TestAnother: go test; issue 1\n"
	is.NoErr(os.WriteFile(file, []byte(entries), 0o600))
	is.Equal(sampleTestsRun(t, "-test.skip", file), []string{"TestKnownRedSample", "TestKnownRedSample/seed=30", "TestKnownRedSample/usual/1x1"})
	is.Equal(sampleTestsRun(t, "-test.run", file), []string{"TestKnownRedSample", "TestKnownRedSample/seed=303", "TestKnownRedSample/usual/1.1"})
	all := sampleTestsRun(t, "-test.skip", filepath.Join(t.TempDir(), "missing"))
	is.Equal(len(all), 5)
}

// sampleTestsRun returns the tests among TestKnownRedSample that run with a flag set to the pattern
// of a file.
func sampleTestsRun(t *testing.T, flag, file string) []string {
	t.Helper()
	is := is.New(t)
	pattern, err := exec.Command("../.ci/known-red-pattern", file).Output()
	is.NoErr(err)
	cmd := exec.Command(os.Args[0], "-test.v", flag, strings.TrimSpace(string(pattern)))
	if flag == "-test.skip" {
		cmd.Args = append(cmd.Args, "-test.run", "^TestKnownRedSample$")
	}
	cmd.Env = append(os.Environ(), knownRedSample+"=1")
	out, err := cmd.CombinedOutput()
	is.NoErr(err)
	var ran []string
	for line := range strings.Lines(string(out)) {
		if name, ok := strings.CutPrefix(line, "=== RUN   "); ok {
			ran = append(ran, strings.TrimSpace(name))
		}
	}
	slices.Sort(ran)
	return ran
}
