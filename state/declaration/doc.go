// Package declaration holds what operators have declared: the file format, its
// checks, and the set of accepted declarations.
//
// A file is the whole truth of one operator. Declarations travel as records of
// one stream of the platform's log, and every node judges them in log order by
// the same rules, so all nodes accept the same ones:
//
//   - An apply record names the version it was made against (its base). It is
//     accepted if the base is still the operator's current version, the file is
//     valid, no other operator owns one of its services and no service changes
//     its region. The record's offset becomes the version.
//   - A refresh record repeats an operator's whole state, because the log keeps
//     records for a limited time. It changes nothing for a node that has read
//     the stream without a gap; a node that starts at a truncated stream builds
//     its state from refreshes.
//   - A restore (its begin, reports and commit, see restore.go) makes readers
//     complete again where nobody is who could write a refresh.
//
// A reader that meets a record of a newer format judges nothing until it has
// read refreshes.
//
// A service name belongs for good to the operator that first declared it, in
// the region it was created in, also while no file names it. Claims of jobs are
// scoped by service and region; a name that came back elsewhere would let a
// resubmitted job find no claim and run twice.
package declaration
