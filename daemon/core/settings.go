package core

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/settings"
)

// settingsPollInterval is the interval between two checks for a change of the file that no signal
// has announced.
const settingsPollInterval = 2 * time.Second

// WatchSettings validates the settings file again on SIGHUP and when it changes, and logs the
// result, until the context ends. The settings describe the host of the process, and none can
// change while the process runs: a change takes effect with the next start and interrupts nothing.
func WatchSettings(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if modTime(path).Equal(last) {
				continue
			}
		}
		last = modTime(path)
		_, err := settings.Load(path)
		klog.InfoS("Validated the settings file again", "file", path, "fault", err)
	}
}

// modTime returns the modification time of a file, or the zero time if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		klog.V(1).InfoS("The settings file can't be read", "err", err)
		return time.Time{}
	}
	return info.ModTime()
}
