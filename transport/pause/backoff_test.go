package pause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A call fails at once each time. Its repeats get further apart, up to a bound, and begin
// anew after a success. One that has taken long by itself isn't held up any more.
func TestBackoffGrows(t *testing.T) {
	is := is.New(t)
	b := Backoff{Min: 10 * time.Millisecond, Max: 200 * time.Millisecond}
	var sum time.Duration
	for range 10 {
		sum += b.Next(0)
	}
	is.True(sum > 800*time.Millisecond) // 10 + 20 + 40 + 80 + 160 + 5 times 200, less a quarter
	is.True(b.Next(0) <= 250*time.Millisecond)
	is.Equal(b.Next(300*time.Millisecond), time.Duration(0))
	b.Reset()
	is.True(b.Next(0) <= 13*time.Millisecond)
}
