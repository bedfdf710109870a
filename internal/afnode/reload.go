package afnode

import (
	"context"
	"reflect"
	"time"

	"arbutusfork.example/arbutusfork/internal/afgateway"
)

// settingsCheckInterval is the time between two reads of the settings file without a signal, since the file may change
// without one.
const settingsCheckInterval = 2 * time.Second

// runReload reloads the settings after each of Hangups and every settingsCheckInterval.
func (n *Node) runReload(ctx context.Context) {
	ticks, sub := n.timer.TickChannel(settingsCheckInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Hangups:
			n.reloadSettings(true)
		case <-ticks:
			n.reloadSettings(false)
		}
	}
}

// reloadSettings reads the settings and puts changed bounds in force. Changes of addresses and of the lease take effect at
// the next start. Faulty settings change nothing. Without a signal, only changes and new faults are logged.
func (n *Node) reloadSettings(isSignalled bool) {
	s, err := n.Platform.ReadSettings()
	if err != nil {
		if isSignalled || err.Error() != n.lastSettingsError {
			n.log.Error("settings refused", "error", err)
		}
		n.lastSettingsError = err.Error()
		return
	}
	n.lastSettingsError = ""
	isChanged := !reflect.DeepEqual(s, n.currentSettings())
	if isChanged {
		n.reloadedSettings.Store(&s)
		n.gateway.SetRetryBudget(s.retryBudget())
	}
	if isChanged || isSignalled {
		n.log.Info("settings reloaded", "changed", isChanged, "grace", s.GracePeriod, "repeat_ratio", s.RetryBudgetRatio,
			"repeat_extra", s.RetryBudgetExtra, "restart_needed", !reflect.DeepEqual(s.withReloadableOf(n.Settings), n.Settings))
	}
	if isChanged {
		n.requestRecheck() // Requests may be allowed at other endpoints.
	}
}

// currentSettings returns a copy of the settings in force.
func (n *Node) currentSettings() Settings { return *n.settingsInForce() }

// settingsInForce returns the settings in force, which the caller must not change.
func (n *Node) settingsInForce() *Settings {
	if s := n.reloadedSettings.Load(); s != nil {
		return s
	}
	return &n.Settings
}

// retryBudget returns the retry budget of each service.
func (s Settings) retryBudget() afgateway.RetryBudget {
	return afgateway.RetryBudget{RetryRatio: s.RetryBudgetRatio, ExtraRetries: s.RetryBudgetExtra, Window: s.RetryBudgetWindow}
}

// withReloadableOf returns a copy of s with the settings of t that can change without a restart.
func (s Settings) withReloadableOf(t Settings) Settings {
	s.GracePeriod, s.RetryBudgetRatio, s.RetryBudgetExtra, s.RetryBudgetWindow = t.GracePeriod, t.RetryBudgetRatio, t.RetryBudgetExtra, t.RetryBudgetWindow
	s.ColdOver, s.ColdSlack = t.ColdOver, t.ColdSlack
	s.Region, s.RegionsByCentre = t.Region, t.RegionsByCentre
	return s
}
