package daemon

import (
	"fmt"
	"io"
)

func runRole(f flags, stdout, stderr io.Writer) int {
	fmt.Fprintln(stderr, "roles come next")
	return exitUsage
}
