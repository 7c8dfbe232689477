// Package platformlog is the client of the platform's append-only log service.
//
// The service may be down, slow, or lose its reply after the record is in. An
// append therefore ends in one of three ways: an offset, ErrRefused (certainly
// not in) or ErrUnknown (may be in). The client never repeats an append by
// itself: what became of an unknown one is learned by reading the stream.
package platformlog
