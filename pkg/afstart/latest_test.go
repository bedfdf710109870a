package afstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const heartbeat = 1200 * time.Millisecond

// Guards against an older fact that undoes a later start, and against a wrong start that shuts an endpoint out for good.
func TestEarlierStartCountsOnlyAfterContest(t *testing.T) {
	type fact struct {
		after   time.Duration
		kind    string // entry, word, hearsay or return
		start   int64
		accepts bool
		latest  int64
	}
	for name, facts := range map[string][]fact{
		"restart":                       {{0, "entry", 1, true, 1}, {1, "entry", 2, true, 2}, {1, "entry", 1, false, 2}, {heartbeat, "entry", 2, true, 2}},
		"entry without a start":         {{0, "entry", 0, true, 0}, {0, "entry", 0, true, 0}, {0, "entry", 5, true, 5}, {0, "entry", 0, false, 5}},
		"wrong start in the future":     {{0, "entry", 1 << 50, true, 1 << 50}, {heartbeat, "entry", 7, false, 1 << 50}, {ContestTime - 1, "entry", 7, false, 1 << 50}, {1, "entry", 7, true, 7}, {0, "hearsay", 1 << 50, false, 7}, {0, "entry", 8, true, 8}},
		"word of the later start":       {{0, "entry", 2, true, 2}, {0, "entry", 1, false, 2}, {ContestTime - 1, "entry", 2, true, 2}, {1, "entry", 1, false, 2}},
		"two late relays":               {{0, "entry", 2, true, 2}, {0, "entry", 1, false, 2}, {time.Hour, "entry", 1, false, 2}, {ContestTime, "entry", 1, true, 1}},
		"store away during the contest": {{0, "entry", 2, true, 2}, {0, "entry", 1, false, 2}, {ContestTime, "return", 0, false, 2}, {0, "entry", 1, false, 2}, {ContestTime, "entry", 1, true, 1}},
		"endpoint's own word":           {{0, "entry", 9, true, 9}, {heartbeat, "word", 7, false, 7}, {0, "entry", 7, true, 7}, {0, "hearsay", 9, false, 7}, {0, "entry", 9, true, 9}},
		"word of the earlier process":   {{0, "entry", 1, true, 1}, {0, "entry", 2, true, 2}, {0, "word", 1, false, 2}},
		"hearsay before the entry":      {{0, "entry", 1, true, 1}, {1, "hearsay", 2, false, 2}, {1, "entry", 1, false, 2}, {ContestTime - 1, "entry", 1, true, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := Latest{}, time.Unix(1000, 0)
			for i, f := range facts {
				askedAt := now
				now = now.Add(f.after)
				accepted := false
				switch f.kind {
				case "entry":
					require.Equal(t, f.accepts, l.Accepts(f.start, now), i)
					l, accepted = l.WithEntry(f.start, now)
				case "word":
					l = l.WithWord(f.start, askedAt.Add(min(f.after, 1)), now)
				case "hearsay":
					l = l.WithHearsay(f.start, now)
				default:
					l = l.WithStoreReturned(now)
				}
				require.Equal(t, f.accepts, accepted, i)
				require.Equal(t, f.latest, l.StartUnixMs(), i)
			}
		})
	}
}

// Guards against an order of facts in which an earlier start counts too soon, and one after which a living endpoint never counts again.
func TestLatestStartInAnyOrderOfFacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := Latest{}, time.Unix(1000, 0)
		start := rapid.Int64Range(0, 6)
		step := func(longest time.Duration) {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "after")))
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			step(2 * ContestTime)
			switch s := start.Draw(t, "start"); rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				l, _ = l.WithEntry(s, now)
			case 1:
				l = l.WithHearsay(s, now)
			case 2:
				l = l.WithWord(s, now.Add(-time.Second), now)
			case 3:
				l = l.WithStoreReturned(now)
			}
		}
		top := rapid.Int64Range(7, 9).Draw(t, "top")
		l, accepted := l.WithEntry(top, now)
		require.True(t, accepted)
		for end := now.Add(ContestTime); ; {
			step(heartbeat)
			if !now.Before(end) {
				break
			}
			s := rapid.Int64Range(0, 9).Draw(t, "later")
			l, accepted = l.WithEntry(s, now)
			require.Equal(t, s >= top, accepted, "an entry counts if no later start was seen")
			top = max(top, s)
			require.Equal(t, top, l.StartUnixMs())
		}
		living := start.Draw(t, "living")
		for end := now.Add(2*ContestTime + heartbeat); now.Before(end); now = now.Add(heartbeat) {
			l, accepted = l.WithEntry(living, now)
		}
		require.True(t, accepted, "an endpoint that writes its entry is used in the end")
		require.Equal(t, living, l.StartUnixMs())
	})
}
