package bootclock_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The time of day jumps by seconds on some hosts, to and fro. A lease, a wait or the age
// of news that is reckoned with it ends at once or hours late, and callers see tasks
// that are started twice or never. Differences of time.Now are of the steady clock as
// long as nobody strips that part: no code outside of tests does.
func TestNoCodeReadsTheWallClock(t *testing.T) {
	is := is.New(t)
	wallClock := regexp.MustCompile(`\.Unix(Milli|Micro|Nano)?\(|\.Round\(0\)|time\.(Date|Parse|Unix\w*)\(|CLOCK_REALTIME`)
	files := 0
	is.NoErr(filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		files++
		code, err := os.ReadFile(path)
		if found := wallClock.Find(code); found != nil {
			t.Errorf("%s reads the time of day: %s", path, found)
		}
		return err
	}))
	is.True(files > 100)
}
