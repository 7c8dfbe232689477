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

// Guards against leases, waits and ages that are computed from the wall clock. It jumps forwards
// and backwards by seconds on some hosts, so they would expire at once or hours late, and
// callers would see tasks that are started twice or never. Differences of time.Now use the
// monotonic clock unless its reading is stripped, which only tests may do.
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
			t.Errorf("%s uses the wall clock: %s", path, found)
		}
		return err
	}))
	is.True(files > 100)
}
