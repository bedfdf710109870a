package afconfig

import (
	"maps"
	"slices"
	"time"
)

// MaxEvidenceAge is the age up to which evidence counts. A change is in force within 5 s if evidence from before
// its acceptance ends 2 s earlier, which leaves time to end open streams.
const MaxEvidenceAge = 3 * time.Second

// Evidence is what one witness held at one moment.
type Evidence struct {
	Witness string
	// Start tells the incarnations of a witness apart. A witness that starts again has lost its memory.
	Start int64
	// Version is the configuration version that the witness held, and Epoch its witness set's.
	Version int64
	Epoch   int64
	// RequestedAt is a moment on the reader's clock that is not later than the one at which the witness answered.
	RequestedAt time.Time
}

// Probe is the platform's answer to a version probe.
type Probe struct {
	Version int64
	// RequestedAt is when the probe was sent, on the reader's clock.
	RequestedAt time.Time
}

// FreshnessView is all that one VM knows about how current its configuration is. It is immutable; methods return changed
// copies.
//
// Evidence above the VM's own version does not replace older evidence that still counts: until that is too
// old, no change that the VM lacks can have been accepted for longer than the evidence age.
type FreshnessView struct {
	// SelfName is the VM's name, and StartedAt a moment on its clock before it learnt anything.
	SelfName  string
	StartedAt time.Time

	version   int64
	witnesses WitnessSet
	vouching  bool
	probe     claim[Probe]
	evidence  map[string]claim[Evidence]

	// minority accepts evidence of any witness. Only tests set it, to show that the majority is needed.
	minority bool
}

// claim holds the latest answer that the VM's own version covers, and the latest one at all.
type claim[T any] struct {
	covered, latest T
}

// Version returns the version that the VM holds.
func (v FreshnessView) Version() int64 { return v.version }

// WithSnapshot returns the view of a VM that holds the snapshot. An older snapshot changes nothing.
func (v FreshnessView) WithSnapshot(s *Snapshot) FreshnessView {
	if s.Version < v.version {
		return v
	}
	v.version, v.witnesses = s.Version, s.Witnesses()
	v.probe = v.promoteProbe(v.probe)
	old := v.evidence
	v.evidence = make(map[string]claim[Evidence], len(old))
	for name, c := range old {
		if slices.Contains(v.witnesses.VMs, name) {
			v.evidence[name] = v.promote(c)
		}
	}
	return v
}

// WithProbe returns the view after an answered probe.
func (v FreshnessView) WithProbe(p Probe) FreshnessView {
	if p.RequestedAt.Before(v.probe.latest.RequestedAt) {
		return v
	}
	v.probe.latest = p
	v.probe = v.promoteProbe(v.probe)
	return v
}

// WithEvidence returns the view after more evidence. Evidence from before the VM's start does not count, since
// it may precede an acknowledgement that the VM itself gave before it started again.
func (v FreshnessView) WithEvidence(list ...Evidence) FreshnessView {
	v.evidence = maps.Clone(v.evidence)
	if v.evidence == nil {
		v.evidence = make(map[string]claim[Evidence])
	}
	for _, e := range list {
		c := v.evidence[e.Witness]
		if e.RequestedAt.Before(v.StartedAt) || e.RequestedAt.Before(c.latest.RequestedAt) {
			continue
		}
		if e.Start == c.latest.Start {
			// A witness never lowers its version, but relayed evidence may arrive late.
			e.Version = max(e.Version, c.latest.Version)
			e.Epoch = max(e.Epoch, c.latest.Epoch)
		}
		c.latest = e
		v.evidence[e.Witness] = v.promote(c)
	}
	return v
}

func (v FreshnessView) promoteProbe(c claim[Probe]) claim[Probe] {
	if c.latest.Version <= v.version {
		c.covered = c.latest
	}
	return c
}

func (v FreshnessView) promote(c claim[Evidence]) claim[Evidence] {
	if c.latest.Version <= v.version && c.latest.Epoch <= v.witnesses.Epoch {
		c.covered = c.latest
	}
	return c
}

// IsFresh reports whether the VM may rely on its configuration at the moment now.
func (v FreshnessView) IsFresh(now time.Time) bool { return v.probed(now) || v.IsFreshByWitnesses(now) }

func (v FreshnessView) probed(now time.Time) bool {
	return !v.probe.covered.RequestedAt.IsZero() && now.Sub(v.probe.covered.RequestedAt) <= MaxEvidenceAge
}

// IsFreshByWitnesses reports whether the evidence of the witnesses alone makes the VM fresh at the moment now.
func (v FreshnessView) IsFreshByWitnesses(now time.Time) bool {
	n := 0
	for _, name := range v.witnesses.VMs {
		if name == v.SelfName {
			if v.vouching {
				n++
			}
			continue
		}
		c, ok := v.evidence[name]
		if ok && !c.covered.RequestedAt.IsZero() && now.Sub(c.covered.RequestedAt) <= MaxEvidenceAge {
			n++
		}
	}
	if v.minority {
		return n > 0
	}
	return n >= v.witnesses.MajoritySize()
}

// MajoritySize returns the number of members that is a majority. An empty set has none: the result is out of reach.
func (w WitnessSet) MajoritySize() int { return len(w.VMs)/2 + 1 }

// AllowVouchingIfFresh returns a view that may vouch if the VM is fresh. From then on the VM holds every version that an
// earlier incarnation of it has acknowledged, so that it may give evidence and count itself.
func (v FreshnessView) AllowVouchingIfFresh(now time.Time) FreshnessView {
	v.vouching = v.vouching || v.IsFresh(now)
	return v
}

// CanVouch reports whether the VM may give evidence.
func (v FreshnessView) CanVouch() bool { return v.vouching }

// Witnesses returns the witness set that the VM knows.
func (v FreshnessView) Witnesses() WitnessSet { return v.witnesses }

// RecentEvidence returns the latest evidence of the witnesses that still counts at now.
func (v FreshnessView) RecentEvidence(now time.Time) []Evidence {
	var out []Evidence
	for _, name := range v.witnesses.VMs {
		if e := v.evidence[name].latest; !e.RequestedAt.IsZero() && now.Sub(e.RequestedAt) <= MaxEvidenceAge {
			out = append(out, e)
		}
	}
	return out
}
