package afpace

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

var testEndpoint = afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}

// Guards against more requests than one and a half times the limit and five in any 4 s, while the pacing VM is replaced and a
// substitute gives out slots beside it.
func TestSlotsStayWithinOneAndAHalfLimits(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 50).Draw(t, "limit")
		first, second, substitute := &Pacer{}, &Pacer{}, &Pacer{}
		now := time.Unix(1000, 0)
		end := now.Add(20 * time.Second)
		replacedAt := now.Add(time.Duration(rapid.IntRange(4000, 12000).Draw(t, "replaced at")) * time.Millisecond)
		var sentAt []time.Time
		ask := func(p *Pacer, isSubstitute bool) {
			r := Request{Endpoint: testEndpoint, PerSecond: perSecond, IsSubstitute: isSubstitute, MaxWait: time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond}
			if p == second {
				r.HomeSince = replacedAt
			}
			if slot := p.TakeSlot(r, now); slot.IsGranted {
				sentAt = append(sentAt, now.Add(slot.Wait))
			}
		}
		for now.Before(end) {
			if now.Before(replacedAt) {
				ask(first, false)
			} else {
				ask(second, false)
			}
			// Either VMs that do not know of the replacement go on with the first, or the first is gone and some ask a substitute.
			if now.After(replacedAt) && now.Before(replacedAt.Add(maxUnaware)) {
				ask(first, false)
			} else {
				ask(substitute, true)
			}
			now = now.Add(time.Duration(rapid.IntRange(5, 400).Draw(t, "pause")) * time.Millisecond)
		}
		for _, begin := range sentAt {
			n := 0
			for _, at := range sentAt {
				if !at.Before(begin) && at.Before(begin.Add(window)) {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), 1.5*perSecond*window.Seconds()+5, "from %s", begin)
		}
	})
}

// Guards against VMs that take the slots of both pacing VMs, one after the other idle, in a rush while the second replaces the first.
func TestRushDuringReplacementStaysWithinLimit(t *testing.T) {
	const window, step = 4 * time.Second, 10 * time.Millisecond
	begin := time.Unix(1000, 0)
	replacedAt := begin.Add(6 * time.Second)
	for _, perSecond := range []float64{0.5, 1, 2, 6, 20, 50} {
		for rushAfter := -2 * time.Second; rushAfter <= 5*time.Second; rushAfter += 250 * time.Millisecond {
			for waits := range 8 { // Each bit is a pacer whose slots are taken as far ahead as possible.
				first, second, substitute := &Pacer{}, &Pacer{}, &Pacer{}
				var sentAt []time.Time
				ask := func(p *Pacer, n int, isSubstitute bool, now time.Time) {
					r := Request{Endpoint: testEndpoint, PerSecond: perSecond, IsSubstitute: isSubstitute}
					if p == second {
						r.HomeSince = replacedAt
					}
					if waits&(1<<n) != 0 {
						r.MaxWait = 2 * MaxAhead
					}
					if slot := p.TakeSlot(r, now); slot.IsGranted {
						sentAt = append(sentAt, now.Add(slot.Wait))
					}
				}
				for now := begin; now.Before(replacedAt.Add(12 * time.Second)); now = now.Add(step) {
					isRush := !now.Before(replacedAt.Add(rushAfter))
					if !isRush && now.Sub(begin)%(400*time.Millisecond) != 0 {
						continue
					}
					if now.Before(replacedAt.Add(maxUnaware)) {
						ask(first, 0, false, now)
					}
					if !now.Before(replacedAt) {
						ask(second, 1, false, now)
					}
					if now.Before(replacedAt) || !now.Before(replacedAt.Add(maxUnaware)) {
						ask(substitute, 2, true, now)
					}
				}
				slices.SortFunc(sentAt, time.Time.Compare)
				for i, end := 0, 0; i < len(sentAt); i++ {
					for end < len(sentAt) && sentAt[end].Before(sentAt[i].Add(window)) {
						end++
					}
					require.LessOrEqual(t, float64(end-i), 1.5*perSecond*window.Seconds()+5, "limit %g, rush %s after the replacement, waits %03b, from %s", perSecond, rushAfter, waits, sentAt[i].Sub(replacedAt))
				}
			}
		}
	}
}

// Guards against a VM that has given out slots all the time and uses half of a limit after the endpoint first names it.
func TestNewLimitIsUsedInFull(t *testing.T) {
	p, now, granted := &Pacer{}, time.Unix(1000, 0), 0
	for range 400 {
		if p.TakeSlot(Request{Endpoint: testEndpoint, PerSecond: 5, HomeSince: now.Add(-time.Minute)}, now).IsGranted {
			granted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.GreaterOrEqual(t, granted, 20, "slots in 4 s at 5 a second")
}

// Guards against a limit that is kept by sending next to nothing.
func TestSlotsUseTheLimit(t *testing.T) {
	p, now, granted := &Pacer{}, time.Unix(1000, 0), 0
	for range 2000 {
		if p.TakeSlot(Request{Endpoint: testEndpoint, PerSecond: 5, MaxWait: time.Second}, now).IsGranted {
			granted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.GreaterOrEqual(t, granted, 90, "slots in 20 s at 5 a second")
	denied := p.TakeSlot(Request{Endpoint: testEndpoint, PerSecond: 5}, now)
	require.False(t, denied.IsGranted)
	require.Positive(t, denied.Wait)
}

// withAnswer returns the limits after one answer of an endpoint, and whether other VMs should learn of it.
func withAnswer(l Limits, e afengine.EndpointStart, limit Limit) (changed Limits, isNews bool) {
	changed, news := l.WithAnswers(map[afengine.EndpointStart]Limit{e: limit}, limit.NamedAt)
	return changed, len(news) > 0
}

// Guards against memory that grows with the number of endpoints that ever named a limit.
func TestStateStaysBounded(t *testing.T) {
	p, limits, now := &Pacer{}, Limits{}, time.Unix(1000, 0)
	for i := range 3 * maxPaces / 2 {
		e := afengine.EndpointStart{Endpoint: strconv.Itoa(i), StartUnixMs: 1}
		p.TakeSlot(Request{Endpoint: e, PerSecond: 1}, now)
		if i%8 == 0 {
			limits, _ = withAnswer(limits, e, Limit{PerSecond: 1, NamedAt: now})
		}
		now = now.Add(time.Millisecond)
	}
	require.LessOrEqual(t, len(p.paces), maxPaces)
	limits, _ = withAnswer(limits, testEndpoint, Limit{PerSecond: 1, NamedAt: now.Add(2 * limitTimeout)})
	require.Len(t, limits.byEndpoint, 1, "expired limits are dropped")
}

// Guards against a lifted limit that an older answer brings back, and against a limit that a restarted endpoint did not name.
func TestLimitFollowsLatestAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	l, isNews := withAnswer(Limits{}, testEndpoint, Limit{NamedAt: now})
	require.False(t, isNews, "no limit was named")
	l, isNews = withAnswer(l, testEndpoint, Limit{PerSecond: 2, NamedAt: now})
	require.True(t, isNews)
	l, isNews = withAnswer(l, testEndpoint, Limit{PerSecond: 2.1, NamedAt: now.Add(time.Second)})
	require.False(t, isNews, "nearly the same limit")
	l, isNews = withAnswer(l, testEndpoint, Limit{NamedAt: now.Add(2 * time.Second)})
	require.True(t, isNews)
	l, isNews = withAnswer(l, testEndpoint, Limit{PerSecond: 2, NamedAt: now.Add(time.Second)})
	require.False(t, isNews, "an answer from before the limit was lifted")
	_, isLimited := l.Limit(testEndpoint, now.Add(3*time.Second))
	require.False(t, isLimited)
	_, isLimited = l.Limit(afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 2}, now)
	require.False(t, isLimited)
}

// Guards against a rush to an endpoint whose limit was forgotten because no request was sent to it for a while.
func TestLimitHoldsWithoutRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	l, _ := withAnswer(Limits{}, testEndpoint, Limit{PerSecond: 2, NamedAt: now})
	_, isLimited := l.Limit(testEndpoint, now.Add(5*time.Minute))
	require.True(t, isLimited)
}
