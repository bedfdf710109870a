package aflimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCrowded guards against refunds that are cut on the VM that has a customer's demand while the others hold idle
// capacity, and against VMs with even demand that ask each other for capacity that none has.
func TestCrowded(t *testing.T) {
	limit := Limit{Rate: Tokens(10_000), Burst: Tokens(20_000)}
	for name, c := range map[string]struct {
		requests int
		want     bool
	}{"whole demand on one VM": {20, true}, "a sixth of the demand": {3, false}} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			a := NewAccount(limit, now)
			a.SetBase(Whole/6, Whole/6, now)
			for range 20 {
				now += 100 * time.Millisecond
				for range c.requests / 2 {
					if a.Reserve(100, now) == nil {
						a.Miss(100, now)
					}
				}
			}
			require.Equal(t, c.want, a.Crowded(now))
			tokens, parts := a.Lack(0, now)
			require.Zero(t, tokens)
			require.Equal(t, c.want, parts.Burst > 0)
		})
	}
}
