// Package load holds only tests. They run the state machines of packages owner and worker under
// realistic load in simulated time, and check how many jobs end in time.
package load
