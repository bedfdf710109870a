package afconfig

import "maps"

// Confirmation collects the acknowledgements of witnesses that make a configuration change accepted. It is immutable.
//
// Each witness is asked in two rounds, and an acknowledgement of the second round counts only if the same incarnation
// acknowledged in the first. Between the rounds a majority therefore holds the version at the same time, and a witness
// that restarts later obtains the version from the others before it gives evidence. With a single round, a witness
// could acknowledge, restart and fetch an older version from witnesses that acknowledge only later.
type Confirmation struct {
	version int64
	set     WitnessSet
	// acknowledgements holds for each round the incarnation of every witness that acknowledged.
	acknowledgements [2]map[string]int64
	round            int
	accepted         bool

	// skipsSecondRound accepts the change after the first round. Only tests set it, to show that two rounds are necessary.
	skipsSecondRound bool
}

// NewConfirmation returns the confirmation of a version by a witness set, without acknowledgements. The set must be the
// one in the configuration of that version or of a later version.
func NewConfirmation(version int64, set WitnessSet) Confirmation {
	return Confirmation{version: version, set: set}
}

// Version returns the configuration version to confirm.
func (c Confirmation) Version() int64 { return c.version }

// CurrentRound returns the number of the current round, 0 or 1, and the witnesses to ask in that round.
func (c Confirmation) CurrentRound() (round int, vms []string) {
	for _, vm := range c.set.VMs {
		if _, ok := c.acknowledgements[0][vm]; ok || c.round == 0 {
			vms = append(vms, vm)
		}
	}
	return c.round, vms
}

// WithAcknowledgement returns the confirmation after a witness answered in a round. start identifies the incarnation
// of the witness, and version is the configuration version that the witness holds.
func (c Confirmation) WithAcknowledgement(round int, vm string, start, version int64) Confirmation {
	if round != c.round || version < c.version || c.accepted {
		return c
	}
	if firstStart, ok := c.acknowledgements[0][vm]; round == 1 && (!ok || firstStart != start) {
		return c
	}
	acknowledged := maps.Clone(c.acknowledgements[round])
	if acknowledged == nil {
		acknowledged = make(map[string]int64)
	}
	acknowledged[vm] = start
	c.acknowledgements[round] = acknowledged
	if len(acknowledged) < c.set.MajoritySize() {
		return c
	}
	c.accepted = round == 1 || c.skipsSecondRound
	c.round = 1
	return c
}

// IsAccepted reports whether a majority of the witnesses acknowledged the version in all rounds.
func (c Confirmation) IsAccepted() bool { return c.accepted }
