// Package inforce measures how long a change of a declaration takes from the
// moment the log has it until it is in force on every process, at the target
// size: 990 processes follow the log's stand-in with the daemons' own client and
// machines, in virtual time. Network and processor time are not in its figures;
// BenchmarkFollow990 of transport/platformlog has those.
//
//	go test -v ./bench/inforce -processes 990
package inforce
