package shares

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestManyQueuesGetNoMoreThanThereIs guards against entries that together accept more work than there
// is capacity because it comes in many queues.
func TestManyQueuesGetNoMoreThanThereIs(t *testing.T) {
	for _, queues := range []int{10, 100, 400} {
		t.Run(fmt.Sprint(queues), func(t *testing.T) {
			is := is.New(t)
			s := newSite(3, 0.5)
			s.free = 100 * targetFree
			load := make(map[string]float64)
			for i := range queues {
				load[fmt.Sprintf("q%03d", i)] = 200 / float64(queues)
			}
			s.run(3*time.Second, load)
			s.reset()
			s.run(4*time.Second, load)
			var sum float64
			for q := range load {
				sum += s.cores(q, 4*time.Second)
			}
			t.Logf("%.0f cores of 100 granted", sum)
			is.True(sum > 85 && sum < 115)
		})
	}
}
