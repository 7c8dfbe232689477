// Package link measures the links between nodes over loopback: messages a
// second and processor time per message at several batch sizes, bytes on the
// wire for each kind of message, and memory per idle link. It has no code of its
// own; run the benchmarks:
//
//	go test -run '^$' -bench . ./bench/link
package link
