// Package speed estimates how fast one backend server is from the run times there.
//
// The speed is the ratio of expected to measured run time: 2 is twice as fast as the expected run
// times say. It is relative to these, so a factor by which all of them are off is in the speeds of
// all servers alike. An Estimator learns lasting differences only. Slowness that comes and goes is
// left to the slowdown of package worker.
//
// The package has no clock: time comes in as now. Estimator is not safe for concurrent use.
package speed
