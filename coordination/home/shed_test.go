package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
)

// A home among many agents has seen two results in some seconds while a task waited.
// A caller's job of 60 tasks comes with a minute to spare. By a pace of less
// than one a second it was refused as hopeless, though the fleet is
// nearly idle. So few results are no pace.
func TestAFewResultsAreNoPace(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(1), nil)
	b.submit("waits", 8, 0, "1")
	to, assigns := take[message.Assign](b)
	for range 2 {
		b.pass(3 * time.Second)
		b.succeed(to[0], withTasks(assigns)[0])
		b.report("a0", message.Report{Key: assigns[0].Key, Credit: 1})
		_, assigns = take[message.Assign](b)
	}
	b.submit("large", 60, time.Minute, "1")
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 0)
}
