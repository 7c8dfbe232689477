package second

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// playVariable makes the test play the cases. Each takes up to two minutes and needs the programs in
// target, which the build of the deploy file and review/build-2.sh leave there.
const playVariable = "SECOND_REVIEW_PLAY"

// firstCase and lastCase are the numbers that the folders of this review may have.
const firstCase, lastCase = 4, 8

var (
	rulePattern   = regexp.MustCompile(`^rule: [A-Z]+$`)
	sitePattern   = regexp.MustCompile(`^site: [a-z-]+$`)
	originPattern = regexp.MustCompile(`^from: (part one|entry)$`)
	// addressPattern finds IPv4 addresses, of which a case may only have loopback ones.
	addressPattern = regexp.MustCompile(`\b(\d{1,3})\.\d{1,3}\.\d{1,3}\.\d{1,3}\b`)
)

// TestSecondReviewCase checks that the files of each case are complete and well formed. With
// SECOND_REVIEW_PLAY set it plays the cases instead: a case that shows its fault fails.
func TestSecondReviewCase(t *testing.T) {
	found := 0
	for n := firstCase; n <= lastCase; n++ {
		dir := filepath.Join("..", strconv.Itoa(n))
		if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) {
			continue
		}
		found++
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			checkClaim(t, dir)
			checkScript(t, dir, n)
			if os.Getenv(playVariable) != "" {
				play(t, dir)
			}
		})
	}
	if found == 0 {
		t.Error("no case was found")
	}
}

func checkClaim(t *testing.T, dir string) {
	t.Helper()
	text := read(t, filepath.Join(dir, "claim.txt"))
	lines := strings.Split(text, "\n")
	if len(lines) < 4 {
		t.Fatal("claim.txt has fewer than four lines")
	}
	for i, pattern := range []*regexp.Regexp{rulePattern, sitePattern, originPattern} {
		if !pattern.MatchString(lines[i]) {
			t.Errorf("line %d of claim.txt is %q, expected a match of %s", i+1, lines[i], pattern)
		}
	}
	checkAddresses(t, text)
}

func checkScript(t *testing.T, dir string, n int) {
	t.Helper()
	path := filepath.Join(dir, "run.sh")
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode()&0o111 == 0 {
		t.Error("run.sh is not executable")
	}
	text := read(t, path)
	for _, want := range []string{fmt.Sprintf("review/%d/record.txt", n), "timeout"} {
		if !strings.Contains(text, want) {
			t.Errorf("run.sh does not contain %q", want)
		}
	}
	checkAddresses(t, text)
}

func checkAddresses(t *testing.T, text string) {
	t.Helper()
	for _, m := range addressPattern.FindAllStringSubmatch(text, -1) {
		if m[1] != "127" {
			t.Errorf("%s is not a loopback address", m[0])
		}
	}
}

func play(t *testing.T, dir string) {
	t.Helper()
	out, err := exec.Command(filepath.Join(dir, "run.sh")).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Errorf("the rule was broken:\n%s", out)
	default:
		t.Fatalf("the case could not run: %v\n%s", err, out)
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
