package main

// The platform redirects calls to the C library, so the program is linked dynamically against
// it where cgo is enabled. Without cgo this file is excluded from the build.

import "C"
