package afnode

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afgateway"
)

// settingsPeriod is how often the settings are read without a signal, since the file may change without one.
const settingsPeriod = 2 * time.Second

// runReload reads the settings again after SIGHUP and from time to time.
func (n *Node) runReload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticks, sub := n.timer.TickChannel(settingsPeriod)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			n.reload(true)
		case <-ticks:
			n.reload(false)
		}
	}
}

// reload brings changed bounds into force; addresses and the lease stay as they are until the next start. Settings with
// faults change nothing. Without a signal only news is logged.
func (n *Node) reload(asked bool) {
	s, err := n.Platform.ReadSettings()
	if err != nil {
		if asked || err.Error() != n.refused {
			n.log.Error("settings refused; the old ones stay in force", "error", err)
		}
		n.refused = err.Error()
		return
	}
	n.refused = ""
	changed := s != n.inForce()
	if changed {
		n.reloaded.Store(&s)
		n.gateway.SetRetryBudget(s.repeats())
	}
	if changed || asked {
		n.log.Info("settings read again", "changed", changed, "grace", s.GracePeriod, "repeat_ratio", s.RetryBudgetRatio,
			"repeat_extra", s.RetryBudgetExtra, "restart_needed", s.withBoundsOf(n.Settings) != n.Settings)
	}
}

// inForce returns the settings that were read last.
func (n *Node) inForce() Settings {
	if s := n.reloaded.Load(); s != nil {
		return *s
	}
	return n.Settings
}

func (s Settings) repeats() afgateway.RetryBudget {
	return afgateway.RetryBudget{RetryRatio: s.RetryBudgetRatio, ExtraRetries: s.RetryBudgetExtra, Window: s.RetryBudgetWindow}
}

// withBoundsOf returns a copy with the bounds of t that change without a restart.
func (s Settings) withBoundsOf(t Settings) Settings {
	s.GracePeriod, s.RetryBudgetRatio, s.RetryBudgetExtra, s.RetryBudgetWindow = t.GracePeriod, t.RetryBudgetRatio, t.RetryBudgetExtra, t.RetryBudgetWindow
	return s
}
