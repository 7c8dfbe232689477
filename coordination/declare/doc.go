// Package declare settles operators' applies and keeps the declarations of all
// operators alive in the platform's log and on newcomers.
//
// An apply is appended once. What became of it is learned by reading the log:
// its own record's verdict, or another apply's acceptance against the same
// base, which rules ours out because a version is replaced only once. A lost
// reply is never answered by another append: the first record may still be on
// its way in, and of two copies the second would be refused, so that the caller
// would hear "lost race" of a change that is in force.
package declare
