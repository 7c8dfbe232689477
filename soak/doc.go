// Package soak holds only tests. They run the daemon as separate processes on loopback, inject
// random faults from outside, and check the documented guarantees by what clients and backend
// servers see.
package soak
