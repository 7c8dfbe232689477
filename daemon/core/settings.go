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

// settingsPoll is the pace at which a change of the file without a signal is
// looked for.
const settingsPollInterval = 2 * time.Second

// WatchSettings checks the file anew on SIGHUP and when it changes. The settings
// describe the host a process stands on, and no key can change while it lives;
// a change is logged, takes effect with the next start, and cuts off nothing.
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
		klog.InfoS("The settings were read again", "file", path, "fault", err)
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		klog.V(1).InfoS("The settings file can't be looked at", "err", err)
		return time.Time{}
	}
	return info.ModTime()
}
