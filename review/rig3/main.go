// Command rig3 plays the cases of the third review: it starts the project's programs as processes, with
// stand-ins for the store, the executors and the clients, and checks one rule of the pages.
package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// cases has each case by its name. trouble is false for the run without the disruption.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"outage": outageCase, "batch": batchCase, "moved": movedCase, "grey": greyCase, "pending": pendingCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE RECORD")
		return failed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println("the case could not run:", err)
		return failed
	}
	defer w.end()
	time.AfterFunc(timeLimit, func() {
		w.log.say("the case took too long")
		w.end()
		os.Exit(failed)
	})
	ok, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	for i, f := range w.log.broken() {
		if i < 10 {
			w.log.say("%s", f)
		}
		ok = false
	}
	switch {
	case err != nil:
		w.log.say("the case could not run: %v", err)
		return failed
	case ok:
		w.log.say("the rule held")
		return held
	}
	w.log.say("the rule was broken")
	return broken
}
