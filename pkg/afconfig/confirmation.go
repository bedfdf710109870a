package afconfig

import "maps"

// Confirmation collects the acknowledgements that make a change accepted. It is immutable.
//
// The witnesses are asked twice, and the second acknowledgements must come from the incarnations that gave the
// first ones. So there is a moment at which a majority held the version, and a witness that starts again
// afterwards learns it from the others before it gives evidence. With one round, a witness could acknowledge,
// start again and catch up with less from witnesses that acknowledge only later.
type Confirmation struct {
	version int64
	set     WitnessSet
	rounds  [2]map[string]int64 // rounds holds the starts of the witnesses that acknowledged.
	round   int
	done    bool

	// single leaves out the second round. Only tests set it, to show that it is needed.
	single bool
}

// NewConfirmation returns the confirmation of a version by a witness set. The set must be the one that the configuration
// of that version or of a later one names.
func NewConfirmation(version int64, set WitnessSet) Confirmation {
	return Confirmation{version: version, set: set}
}

// Version returns the version to confirm.
func (c Confirmation) Version() int64 { return c.version }

// CurrentRound returns the number of the round and the witnesses to ask in it.
func (c Confirmation) CurrentRound() (round int, vms []string) {
	for _, vm := range c.set.VMs {
		if _, ok := c.rounds[0][vm]; ok || c.round == 0 {
			vms = append(vms, vm)
		}
	}
	return c.round, vms
}

// WithAcknowledgement returns the confirmation after a witness answered in a round, where it held the version.
func (c Confirmation) WithAcknowledgement(round int, vm string, start, version int64) Confirmation {
	if round != c.round || version < c.version || c.done {
		return c
	}
	if first, ok := c.rounds[0][vm]; round == 1 && (!ok || first != start) {
		return c
	}
	held := maps.Clone(c.rounds[round])
	if held == nil {
		held = make(map[string]int64)
	}
	held[vm] = start
	c.rounds[round] = held
	if len(held) < c.set.MajoritySize() {
		return c
	}
	c.done = round == 1 || c.single
	c.round = 1
	return c
}

// IsAccepted reports whether the change is accepted.
func (c Confirmation) IsAccepted() bool { return c.done }
