// Command rig runs one case of the review: it starts the project's own daemons as separate
// processes on loopback addresses, with stand-ins for the store, the backend servers and the
// clients, brings about one disruption, and checks one rule by what the stand-ins have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
