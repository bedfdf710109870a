package afconfig

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// takeRandomStep performs one random action of a VM or changes the faults.
func (m *clusterModel) takeRandomStep(t *rapid.T) {
	pick := func(name string) int { return rapid.IntRange(0, len(m.vms)-1).Draw(t, name) }
	i, j := pick("i"), pick("j")
	m.now = m.now.Add(time.Millisecond)
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	case 1:
		if m.isPlatformUp {
			m.withdrawKey()
		}
	case 2:
		m.pullFromPlatform(i)
	case 3, 4:
		m.exchangeHeartbeat(i, j)
	case 5:
		m.pullFromPeer(i, j)
	case 6:
		m.probePlatform(i)
	case 7:
		m.startRequest(i, rapid.IntRange(platformID, len(m.vms)-1).Draw(t, "to"))
	case 8, 9:
		if len(m.requests) > 0 {
			m.advanceRequest(rapid.SampledFrom(m.requests).Draw(t, "request"))
		}
	case 10:
		m.startConfirmation(i, nil)
	case 11, 12:
		if len(m.confirmations) > 0 {
			m.askWitness(rapid.SampledFrom(m.confirmations).Draw(t, "confirm"), pick("witness"))
		}
	case 13:
		m.changeFaults(t, i)
	case 14:
		m.startWitnessChange(i, j)
	case 15:
		m.runConfirmation(i)
	}
}

// changeFaults restarts or pauses a VM, stops or starts the platform, or cuts or restores links.
func (m *clusterModel) changeFaults(t *rapid.T, i int) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		m.restartVM(i)
	case 1:
		m.vms[i].isPaused = !m.vms[i].isPaused
	case 2:
		m.isPlatformUp = !m.isPlatformUp
	case 3:
		m.setLinkCut(i, platformID, rapid.Bool().Draw(t, "cut"))
	case 4:
		clear(m.cutLinks)
	case 5:
		inFirstGroup := rapid.SliceOfN(rapid.Bool(), len(m.vms), len(m.vms)).Draw(t, "sides")
		for a := range inFirstGroup {
			for b := range a {
				m.setLinkCut(a, b, inFirstGroup[a] != inFirstGroup[b])
			}
		}
	}
}

// startWitnessChange makes VM i start a change of its witness set that removes VM j, or adds VM j if it is no member.
func (m *clusterModel) startWitnessChange(i, j int) {
	set := m.vms[i].snapshot.Witnesses()
	next := WitnessSet{Epoch: set.Epoch + 1}
	if k := slices.Index(set.VMs, vmName(j)); k < 0 {
		next.VMs = append(slices.Clone(set.VMs), vmName(j))
	} else {
		next.VMs = slices.Delete(slices.Clone(set.VMs), k, k+1)
	}
	if set.Epoch > 0 && len(next.VMs) > 0 {
		m.startConfirmation(i, &next)
	}
}

// runConfirmation confirms the version that VM i holds: it asks each reachable witness once in each round.
func (m *clusterModel) runConfirmation(i int) {
	c := m.startConfirmation(i, nil)
	for range 2 {
		for k := range m.vms {
			m.askWitness(c, k)
		}
	}
}

// TestFreshVMHoldsAcceptedChanges guards against a VM that admits a withdrawn key because it relies on an old
// configuration, and against a version that decreases, under partitions, outages of the platform, restarts, pauses,
// lost messages and changes of the witness set.
func TestFreshVMHoldsAcceptedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "vms")
		m := newClusterModel(n, rapid.IntRange(1, n).Draw(t, "witnesses"), disabledRules{})
		before := make(map[int]int64)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			m.takeRandomStep(t)
			require.NoError(t, m.checkFreshness())
			for i, n := range m.vms {
				key := i<<20 + int(n.incarnation)
				require.GreaterOrEqual(t, n.snapshot.Version, before[key])
				before[key] = n.snapshot.Version
			}
		}
	})
}

// TestEachFreshnessRuleIsNecessary guards against a model that detects no fault: with one rule disabled, a VM must
// rely on an old configuration in a scenario that is safe with the rule.
func TestEachFreshnessRuleIsNecessary(t *testing.T) {
	// partition separates vm0 and vm2 from vm1 and the platform and lets them exchange heartbeats until an accepted
	// change must be in force.
	partition := func(m *clusterModel) error {
		m.isPlatformUp = false
		m.setLinkCut(0, 1, true)
		m.setLinkCut(1, 2, true)
		for range 8 {
			m.now = m.now.Add(time.Second)
			m.exchangeHeartbeat(0, 2)
			m.exchangeHeartbeat(2, 0)
		}
		return m.checkFreshness()
	}
	// acceptChange commits a change on the platform, which vm0 and vm1 fetch and acknowledge.
	acceptChange := func(m *clusterModel) {
		m.withdrawKey()
		m.pullFromPlatform(0)
		m.pullFromPlatform(1)
		m.runConfirmation(1)
	}
	for name, scenario := range map[string]struct {
		disabled disabledRules
		run      func(m *clusterModel) error
	}{
		"majority not required": {disabledRules{acceptsMinority: true}, func(m *clusterModel) error {
			acceptChange(m)
			m.setLinkCut(0, 2, true)
			return partition(m)
		}},
		"vouching before first freshness": {disabledRules{vouchesUnconditionally: true}, func(m *clusterModel) error {
			acceptChange(m)
			m.isPlatformUp = false
			m.restartVM(0)
			return partition(m)
		}},
		"evidence from before the start": {disabledRules{acceptsEarlierEvidence: true}, func(m *clusterModel) error {
			m.exchangeHeartbeat(2, 1) // vm2 gets the evidence of vm1 from before the change.
			acceptChange(m)
			m.isPlatformUp = false
			m.now = m.now.Add(time.Second)
			m.restartVM(0)
			m.pullFromPeer(0, 2)
			m.exchangeHeartbeat(0, 2)
			return partition(m)
		}},
		"one round of acknowledgements": {disabledRules{skipsSecondRound: true}, func(m *clusterModel) error {
			m.withdrawKey()
			m.pullFromPlatform(0)
			m.pullFromPlatform(3)
			m.isPlatformUp = false
			c := m.startConfirmation(3, nil)
			m.askWitness(c, 0)
			m.restartVM(0)
			m.pullFromPeer(0, 1)
			m.exchangeHeartbeat(0, 1)
			m.exchangeHeartbeat(0, 2)
			m.pullFromPeer(1, 3)
			m.askWitness(c, 1)
			for k := range 3 {
				m.askWitness(c, k)
			}
			return partition(m)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, scenario.run(newClusterModel(4, 3, scenario.disabled)))
			require.NoError(t, scenario.run(newClusterModel(4, 3, disabledRules{})))
		})
	}
}
