package assignment

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against keeping a partition that another member has held between two answers.
func TestPartitionThatCameBackIsInterrupted(t *testing.T) {
	is := is.New(t)
	var m Tracker
	is.Equal(m.Joined(3, []int{1, 2}), nil)
	is.Equal(m.Joined(5, []int{1, 2, 4}), []int{1, 2})
	is.Equal(m.Joined(5, []int{1, 2, 4}), nil)
	is.Equal(m.Joined(2, []int{4}), []int{4}) // the group was lost and made anew
}

// Guards against asking the store about each partition whenever one member comes or goes.
func TestOneChangeInterruptsNothing(t *testing.T) {
	is := is.New(t)
	var m Tracker
	m.Joined(3, []int{1, 2})
	is.Equal(m.Joined(4, []int{1}), nil)
	is.Equal(m.Joined(5, []int{1, 2}), nil) // 2 was given up in between
}
