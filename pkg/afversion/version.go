// Package afversion orders the versions of a store that may come back from an older copy of itself.
//
// Such a store gives out the same revision more than once, each time with another meaning. Its era rises whenever it comes
// back. A version holds the era above the revision, so that a later version is always the greater one and no version is given
// out twice. Without eras, a version equals the revision.
package afversion

import "github.com/go-faster/errors"

const (
	// revisionBits is the number of low bits of a version that hold the revision. Versions of the first 8,192 eras stay below
	// 2^53, so that JSON decoders that use floating-point numbers keep them exactly.
	revisionBits = 40
	// MaxRevision is the highest revision that a version can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<(63-revisionBits) - 1
)

// Join returns the version of a revision in an era. It fails if one of them is negative or too large.
func Join(era, revision int64) (int64, error) {
	if era < 0 || era > MaxEra {
		return 0, errors.Errorf("era %d is out of range", era)
	}
	if revision < 0 || revision > MaxRevision {
		return 0, errors.Errorf("revision %d is out of range", revision)
	}
	return era<<revisionBits | revision, nil
}

// Era returns the era of a version.
func Era(version int64) int64 { return version >> revisionBits }

// Revision returns the store's revision of a version. Zero means that the object did not exist.
func Revision(version int64) int64 { return version & MaxRevision }
