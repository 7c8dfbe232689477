package metrics

import (
	"flag"
	"io"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// SetupLog makes klog write all log lines to out only, each one once.
func SetupLog(out io.Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			return errors.Wrapf(err, "set klog flag %q", name)
		}
	}
	klog.SetOutput(out)
	return nil
}
