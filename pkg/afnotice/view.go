package afnotice

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// maxNotices bounds the notices that are kept. Those that were heard longest ago are dropped first. The largest deployment has
	// 750 endpoints.
	maxNotices = 4096
	// unlistedTimeout is the age from which a notice about an endpoint that is not listed is dropped. An endpoint whose entry was
	// lost in an outage of the platform writes it again within seconds.
	unlistedTimeout = time.Hour
)

// View holds the notices that are known. It is immutable; the With methods return changed copies. The zero View is empty.
type View struct {
	notices map[Key]Notice
	// counts holds the number of notices by kind, so that most calls need no look-up.
	counts [kinds]int
}

// kinds is the number of kinds.
const kinds = int(Leaving) + 1

// IsLeaving reports whether the endpoint said that it leaves.
func (v View) IsLeaving(e afengine.EndpointStart) bool {
	if v.counts[Leaving] == 0 {
		return false
	}
	_, ok := v.notices[Key{e, Leaving}]
	return ok
}

// Notices returns all notices. The caller must not change the map.
func (v View) Notices() map[Key]Notice { return v.notices }

// Count returns the number of notices of a kind.
func (v View) Count(k Kind) int { return v.counts[k] }

// Digest returns a hash of the notices of which VMs should know the same. It is 0 if there are none.
func (v View) Digest() uint64 {
	sum := uint64(0)
	for k := range v.notices {
		sum += xxhash.Sum64String(k.Endpoint + "\x00" + strconv.FormatInt(k.StartUnixMs, 10) + "\x00" + strconv.Itoa(int(k.Kind)))
	}
	return sum
}

// WithNotices returns the view after notices were heard or received from another VM, in any order. It also returns those that are
// new, of which other VMs should learn. IsListed reports whether an endpoint is known to exist; nil means that all do.
func (v View) WithNotices(heard map[Key]Notice, now time.Time, isListed func(afengine.EndpointStart) bool) (changed View, news map[Key]Notice) {
	news = make(map[Key]Notice)
	for k, n := range heard {
		if k.Kind >= 0 && int(k.Kind) < kinds && v.isNews(k, n) && !isOver(k, n, now, isListed) {
			news[k] = n
		}
	}
	if len(news) == 0 {
		return v, nil
	}
	changed.notices = make(map[Key]Notice, len(v.notices)+len(news))
	maps.Copy(changed.notices, v.notices)
	maps.Copy(changed.notices, news)
	changed.dropOldest()
	changed.count()
	// VMs that pass on what they do not keep would do so for ever.
	maps.DeleteFunc(news, func(k Key, _ Notice) bool { _, isKept := changed.notices[k]; return !isKept })
	return changed, news
}

// WithoutEnded returns the view without the notices that are over.
func (v View) WithoutEnded(now time.Time, isListed func(afengine.EndpointStart) bool) View {
	ended := func(k Key, n Notice) bool { return isOver(k, n, now, isListed) }
	hasEnded := false
	for k, n := range v.notices {
		hasEnded = hasEnded || ended(k, n)
	}
	if !hasEnded {
		return v
	}
	changed := View{notices: maps.Clone(v.notices)}
	maps.DeleteFunc(changed.notices, ended)
	changed.count()
	return changed
}

// isNews reports whether a notice says more than what is known.
func (v View) isNews(k Key, _ Notice) bool {
	_, isKnown := v.notices[k]
	return !isKnown
}

// isOver reports whether nothing follows from a notice any more.
func isOver(k Key, n Notice, now time.Time, isListed func(afengine.EndpointStart) bool) bool {
	return now.Sub(n.HeardAt) >= unlistedTimeout && isListed != nil && !isListed(k.EndpointStart)
}

// dropOldest removes the oldest notices if there are too many. The map must not be shared.
func (v View) dropOldest() {
	if len(v.notices) <= maxNotices {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Keys(v.notices), func(a, b Key) int { return v.notices[a].HeardAt.Compare(v.notices[b].HeardAt) })
	for _, k := range oldestFirst[:len(oldestFirst)-maxNotices] {
		delete(v.notices, k)
	}
}

// count sets counts. The view must not be shared.
func (v *View) count() {
	v.counts = [kinds]int{}
	for k := range v.notices {
		v.counts[k.Kind]++
	}
}
