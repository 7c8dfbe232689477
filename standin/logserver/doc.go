// Package logserver is an in-memory stand-in for the platform's append-only log
// service, for tests and for shallotstepd -dev. It keeps nothing on disk.
//
// Each stream is a sequence of records at contiguous offsets from 1. Old
// records go away when a stream holds more than Options.RetentionRecords or
// when a record is older than Options.RetentionAge; what is read later starts
// at the stream's first retained offset. Faults are injected through Go methods
// or through PUT /v1/faults.
//
// The HTTP interface:
//
//	POST /v1/streams/{stream}/records                          201 {"offset"}
//	GET  /v1/streams/{stream}/records?from=&limit=&wait_ms=    200 {"first","next","end","records"}
//	GET  /v1/faults, PUT /v1/faults                            the faults in force
//
// An append answered with 4xx, or with 503 and Retry-After, is certainly not in
// the log. Reading below the first retained offset answers 410 {"first","end"},
// reading beyond the end answers 416 {"first","end"}.
package logserver
