package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the cases by number. A case returns an error if it could not run.
var cases = map[string]func(r *record, trouble bool) error{
	"4":    staleOwner,
	"5":    lateReport,
	"6":    suspects,
	"7":    starved,
	"8":    cancelBestEffort,
	"fuzz": func(r *record, _ bool) error { return playFuzz(r) },
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	err = cases[os.Args[1]](r, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
	}
	broken := r.close()
	switch {
	case err != nil:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
