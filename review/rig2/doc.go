// Command rig2 plays the cases of the second review. It starts the project's programs as processes,
// with stand-ins for the platform's store, the backend servers and the clients around them, brings
// about one disruption, and checks one rule by what the clients and the backend servers have seen.
//
// The stand-ins run in this process and follow the published protocol. All times are durations since
// the start of the process.
package main
