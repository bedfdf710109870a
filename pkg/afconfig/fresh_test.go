package afconfig

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// act lets one random thing happen.
func (m *machine) act(t *rapid.T) {
	pick := func(name string) int { return rapid.IntRange(0, len(m.nodes)-1).Draw(t, name) }
	i, j := pick("i"), pick("j")
	m.now = m.now.Add(time.Millisecond)
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	case 1:
		if m.up {
			m.change()
		}
	case 2:
		m.sync(i)
	case 3, 4:
		m.exchange(i, j)
	case 5:
		m.pull(i, j)
	case 6:
		m.probe(i)
	case 7:
		m.ask(i, rapid.IntRange(platformID, len(m.nodes)-1).Draw(t, "to"))
	case 8, 9:
		if len(m.asked) > 0 {
			m.step(rapid.SampledFrom(m.asked).Draw(t, "question"))
		}
	case 10:
		m.confirm(i, nil)
	case 11, 12:
		if len(m.confirms) > 0 {
			m.ack(rapid.SampledFrom(m.confirms).Draw(t, "confirm"), pick("witness"))
		}
	case 13:
		m.disturb(t, i)
	case 14:
		m.changeWitnesses(i, j)
	case 15:
		m.confirmAll(i)
	}
}

// disturb changes the faults in force.
func (m *machine) disturb(t *rapid.T, i int) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		m.restart(i)
	case 1:
		m.nodes[i].paused = !m.nodes[i].paused
	case 2:
		m.up = !m.up
	case 3:
		m.setCut(i, platformID, rapid.Bool().Draw(t, "cut"))
	case 4:
		clear(m.cut)
	case 5:
		side := rapid.SliceOfN(rapid.Bool(), len(m.nodes), len(m.nodes)).Draw(t, "sides")
		for a := range side {
			for b := range a {
				m.setCut(a, b, side[a] != side[b])
			}
		}
	}
}

// changeWitnesses starts to remove the member j from the set or to add it.
func (m *machine) changeWitnesses(i, j int) {
	set := m.nodes[i].snapshot.Witnesses()
	next := WitnessSet{Epoch: set.Epoch + 1}
	if k := slices.Index(set.VMs, nodeName(j)); k < 0 {
		next.VMs = append(slices.Clone(set.VMs), nodeName(j))
	} else {
		next.VMs = slices.Delete(slices.Clone(set.VMs), k, k+1)
	}
	if set.Epoch > 0 && len(next.VMs) > 0 {
		m.confirm(i, &next)
	}
}

// confirmAll runs a confirmation of what the node holds with as many answers as arrive.
func (m *machine) confirmAll(i int) {
	c := m.confirm(i, nil)
	for range 2 {
		for k := range m.nodes {
			m.ack(c, k)
		}
	}
}

// TestFreshness guards against a withdrawn key that is still admitted and against a configuration that reverts,
// under partitions, outages, restarts, pauses, lost messages and changes of the witness set.
func TestFreshness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "vms")
		m := newMachine(n, rapid.IntRange(1, n).Draw(t, "witnesses"), guards{})
		before := make(map[int]int64)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			m.act(t)
			require.NoError(t, m.check())
			for i, n := range m.nodes {
				key := i<<20 + int(n.count)
				require.GreaterOrEqual(t, n.snapshot.Version, before[key])
				before[key] = n.snapshot.Version
			}
		}
	})
}

// TestGuardsAreNeeded guards against a machine that cannot fail: each rule that is switched off must let a VM
// serve an old configuration, in a story that is safe with the rule.
func TestGuardsAreNeeded(t *testing.T) {
	// partition leaves vm0 and vm2 together and lets them exchange heartbeats until the change must be in force.
	partition := func(m *machine) error {
		m.up = false
		m.setCut(0, 1, true)
		m.setCut(1, 2, true)
		for range 8 {
			m.now = m.now.Add(time.Second)
			m.exchange(0, 2)
			m.exchange(2, 0)
		}
		return m.check()
	}
	// accept commits a change that vm0 and vm1 hold and accept.
	accept := func(m *machine) {
		m.change()
		m.sync(0)
		m.sync(1)
		m.confirmAll(1)
	}
	for name, story := range map[string]struct {
		off guards
		run func(m *machine) error
	}{
		"majority": {guards{minority: true}, func(m *machine) error {
			accept(m)
			m.setCut(0, 2, true)
			return partition(m)
		}},
		"vouching": {guards{eager: true}, func(m *machine) error {
			accept(m)
			m.up = false
			m.restart(0)
			return partition(m)
		}},
		"start": {guards{early: true}, func(m *machine) error {
			m.exchange(2, 1) // vm2 learns what vm1 held before it acknowledged.
			accept(m)
			m.up = false
			m.now = m.now.Add(time.Second)
			m.restart(0)
			m.pull(0, 2)
			m.exchange(0, 2)
			return partition(m)
		}},
		"rounds": {guards{single: true}, func(m *machine) error {
			m.change()
			m.sync(0)
			m.sync(3)
			m.up = false
			c := m.confirm(3, nil)
			m.ack(c, 0)
			m.restart(0)
			m.pull(0, 1)
			m.exchange(0, 1)
			m.exchange(0, 2)
			m.pull(1, 3)
			m.ack(c, 1)
			for k := range 3 {
				m.ack(c, k)
			}
			return partition(m)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, story.run(newMachine(4, 3, story.off)))
			require.NoError(t, story.run(newMachine(4, 3, guards{})))
		})
	}
}
