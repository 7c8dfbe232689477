package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// stops are the two ends of a process: planned ends with the first signal,
// forced with the second or when the planned stop has taken too long.
type stops struct {
	planned context.Context
	forced  context.Context
}

// signals listens for SIGTERM and SIGINT until the returned function is called.
func signals(limit time.Duration) (stops, func()) {
	planned, plan := context.WithCancel(context.Background())
	forced, force := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan struct{})
	go func() {
		defer force()
		select {
		case s := <-c:
			klog.InfoS("A signal begins the planned stop", "signal", s.String())
			plan()
		case <-ended:
			return
		}
		t := time.NewTimer(limit)
		defer t.Stop()
		select {
		case s := <-c:
			klog.InfoS("A second signal ends the process", "signal", s.String())
		case <-t.C:
			klog.InfoS("The planned stop took too long", "limit", limit)
		case <-ended:
		}
	}()
	return stops{planned: planned, forced: forced}, func() {
		signal.Stop(c)
		close(ended)
		plan()
	}
}
