// Package load has no code of its own: its tests drive the machines of packages
// owner and worker under the loads of busy days, in simulated time, and tell how
// many jobs end in time.
package load
