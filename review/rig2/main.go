package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the cases by name. A case returns an error if it could not run.
var cases = map[string]func(r *record, trouble bool) error{
	"stale-owner":   staleOwner,
	"killed-twice":  killedTwice,
	"late-report":   lateReport,
	"suspects":      suspects,
	"starved":       starved,
	"cancel":        cancelBestEffort,
	"left-executor": leftExecutor,
	"killed-pair":   killedPair,
	"estimates":     lowEstimates,
	"counts":        overflowingCounts,
	"pending":       pendingCounts,
	"fuzz":          func(r *record, _ bool) error { return playFuzz(r) },
}

func main() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		endDeployments()
		os.Exit(exitNotRun)
	}()
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
