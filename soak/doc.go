// Package soak has no code of its own: its tests run the real programs as separate
// processes on loopback under random faults from outside, and check what the pages
// promise by what clients and backend servers see.
package soak
