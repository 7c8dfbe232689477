package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/shallotstep/shallotstep/state"
)

// Lengths of what the table keeps of a job id and of its content, in bytes.
const (
	IDLength      = 12
	ContentLength = 8
)

// ID stands for a service and a job id: the first bytes of their SHA-256.
//
// Two ids with one ID are taken for one job. That is safe: the second is refused
// as held, and never granted; nobody says "not run" of it for certain but with
// regard to a content that neither id was granted with. With 12 bytes it takes
// 2^96 / 81,000 submissions on average to meet one of 81,000 claims of a share,
// which is a day of the target's peak in jobs of 10: once in 10^15 days of the
// whole fleet. To make an id that meets a given one takes 2^96 hashes.
type ID [IDLength]byte

// Content stands for the content of a submission: the first bytes of its digest.
//
// Two contents under one id with one Content are taken for the same: the second
// submission is told of the first one's holder, which compares whole digests
// while it keeps the job. That happens to one in 2^64 resubmissions with other
// content. A caller who makes such a pair (2^32 hashes) meets its own id only.
type Content [ContentLength]byte

// keySeparator stands between service and id; neither may contain it.
const keySeparator = 0

// IDOf returns what the table keeps of a key.
func IDOf(key state.JobKey) ID {
	var room [2*state.MaxIDLength + 1]byte
	b := append(room[:0], key.Service...)
	b = append(b, keySeparator)
	b = append(b, key.ID...)
	sum := sha256.Sum256(b)
	return ID(sum[:IDLength])
}

// ContentOf returns what the table keeps of a digest.
func ContentOf(d state.Digest) Content {
	return Content(d[:ContentLength])
}

// rank places an ID among all, evenly, and in an order of the seed's own.
//
// A page holds the claims of one stretch of its sender's ranks. With one order
// for all they fell on one stretch at the receiver, too, and each stepped over
// the run of all those before: 7.7 us a claim in place of 0.7.
func rank(id []byte, seed uint64) uint64 {
	return binary.BigEndian.Uint64(id) * (seed | 1)
}
