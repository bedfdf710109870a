package afnotice

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// minDigestAge is the age from which a notice is in the digest: VMs are told of newer ones anyway. A pause that ends within
	// minDigestPause is left out, since VMs do not see its end at exactly the same time.
	minDigestAge   = 400 * time.Millisecond
	minDigestPause = time.Second
)

// Buckets is the number of parts of a digest. VMs whose digests differ exchange only the notices in the parts that differ.
const Buckets = 32

// Digest holds a hash of the notices in each bucket of which VMs should know the same. A bucket without any has 0.
type Digest [Buckets]uint32

// Digest returns the digest of the view. It counts the pauses of an endpoint once: VMs need not know the same ones.
func (v View) Digest(now time.Time) Digest {
	var d Digest
	counted := make(map[afengine.EndpointStart]bool)
	for k, n := range v.notices {
		if now.Sub(n.HeardAt) < minDigestAge || isOldLift(k, n, now) {
			continue
		}
		if k.Kind == Pause {
			if counted[k.EndpointStart] || v.pausedUntil[k.EndpointStart].Sub(now) < minDigestPause {
				continue
			}
			counted[k.EndpointStart] = true
		}
		text := k.Endpoint + "\x00" + strconv.FormatInt(k.StartUnixMs, 10) + "\x00" + strconv.Itoa(int(k.Kind))
		if k.Kind.isLift() {
			text += "\x00" + strconv.FormatInt(n.Number, 10)
		}
		d[bucket(k)] += uint32(xxhash.Sum64String(text) >> 32)
	}
	return d
}

// bucket returns the bucket of a notice in digests.
func bucket(k Key) int { return int(xxhash.Sum64String(k.Endpoint) % Buckets) }

// DifferingBuckets returns the buckets in which two digests differ, bit by bit.
func (d Digest) DifferingBuckets(other Digest) uint32 {
	differing := uint32(0)
	for i := range d {
		if d[i] != other[i] {
			differing |= 1 << i
		}
	}
	return differing
}

// InBuckets returns the notices in the buckets whose bits are set, without pauses that have ended and lifts that nobody needs.
func (v View) InBuckets(buckets uint32, now time.Time) map[Key]Notice {
	out := make(map[Key]Notice)
	for k, n := range v.notices {
		if buckets&(1<<bucket(k)) != 0 && (k.Kind != Pause || n.Until.After(now)) && !isOldLift(k, n, now) {
			out[k] = n
		}
	}
	return out
}
