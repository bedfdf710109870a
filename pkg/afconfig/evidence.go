package afconfig

import (
	"maps"
	"slices"
	"time"
)

// MaxEvidenceAge is the age after which evidence and probes expire. A change must be in force within 5 s of its
// acceptance. Evidence from before the acceptance expires after 3 s, which leaves 2 s to end open streams.
const MaxEvidenceAge = 3 * time.Second

// Evidence states which configuration version one witness held at one moment.
type Evidence struct {
	// Witness is the name of the witness VM.
	Witness string
	// Start identifies the incarnation of the witness. A witness loses its configuration when it restarts.
	Start int64
	// Version is the configuration version that the witness held.
	Version int64
	// Epoch is the epoch of the witness set in that configuration.
	Epoch int64
	// RequestedAt is a moment on the receiver's clock, at or before the moment when the witness answered.
	RequestedAt time.Time
}

// Probe is the platform's answer to a request for the configuration version.
type Probe struct {
	// Version is the configuration version on the platform.
	Version int64
	// RequestedAt is when the VM sent the request, on its own clock.
	RequestedAt time.Time
}

// FreshnessView holds the probes and the evidence from which one VM decides whether its configuration is current. It is
// immutable; methods return changed copies.
//
// Evidence of a version above the VM's own version does not replace earlier evidence that has not expired. Until the
// earlier evidence expires, no change that the VM lacks can have been accepted more than MaxEvidenceAge ago.
type FreshnessView struct {
	// SelfName is the name of the VM.
	SelfName string
	// StartedAt is a moment on the VM's clock before it received its first configuration or evidence.
	StartedAt time.Time

	version   int64
	witnesses WitnessSet
	canVouch  bool
	probe     observation[Probe]
	evidence  map[string]observation[Evidence]

	// acceptsMinority makes the evidence of a single witness sufficient. Only tests set it, to show that a majority is
	// necessary.
	acceptsMinority bool
}

// observation holds answers of one witness or of the platform.
type observation[T any] struct {
	usable T // usable is the latest answer whose version and epoch are not above the VM's own.
	latest T // latest is the latest answer of any version.
}

// Version returns the configuration version that the VM holds.
func (v FreshnessView) Version() int64 { return v.version }

// WithSnapshot returns the view after the VM stored a snapshot. A snapshot older than the current one is ignored.
func (v FreshnessView) WithSnapshot(s *Snapshot) FreshnessView {
	if s.Version < v.version {
		return v
	}
	v.version, v.witnesses = s.Version, s.Witnesses()
	v.probe = v.updateUsableProbe(v.probe)
	old := v.evidence
	v.evidence = make(map[string]observation[Evidence], len(old))
	for name, c := range old {
		if slices.Contains(v.witnesses.VMs, name) {
			v.evidence[name] = v.updateUsableEvidence(c)
		}
	}
	return v
}

// WithProbe returns the view after the platform answered a probe. A probe sent before the latest one is ignored.
func (v FreshnessView) WithProbe(p Probe) FreshnessView {
	if p.RequestedAt.Before(v.probe.latest.RequestedAt) {
		return v
	}
	v.probe.latest = p
	v.probe = v.updateUsableProbe(v.probe)
	return v
}

// WithEvidence returns the view with more evidence. Evidence requested before the VM's start is ignored, since it may
// be older than an acknowledgement that an earlier incarnation of the VM gave.
func (v FreshnessView) WithEvidence(list ...Evidence) FreshnessView {
	v.evidence = maps.Clone(v.evidence)
	if v.evidence == nil {
		v.evidence = make(map[string]observation[Evidence])
	}
	for _, e := range list {
		c := v.evidence[e.Witness]
		if e.RequestedAt.Before(v.StartedAt) || e.RequestedAt.Before(c.latest.RequestedAt) {
			continue
		}
		if e.Start == c.latest.Start {
			// The version of one incarnation never decreases, but relayed evidence may arrive out of order.
			e.Version = max(e.Version, c.latest.Version)
			e.Epoch = max(e.Epoch, c.latest.Epoch)
		}
		c.latest = e
		v.evidence[e.Witness] = v.updateUsableEvidence(c)
	}
	return v
}

func (v FreshnessView) updateUsableProbe(c observation[Probe]) observation[Probe] {
	if c.latest.Version <= v.version {
		c.usable = c.latest
	}
	return c
}

func (v FreshnessView) updateUsableEvidence(c observation[Evidence]) observation[Evidence] {
	if c.latest.Version <= v.version && c.latest.Epoch <= v.witnesses.Epoch {
		c.usable = c.latest
	}
	return c
}

// IsFresh reports whether the VM may rely on its configuration at the moment now, by a probe or by its witnesses.
func (v FreshnessView) IsFresh(now time.Time) bool {
	return v.isFreshByProbe(now) || v.IsFreshByWitnesses(now)
}

func (v FreshnessView) isFreshByProbe(now time.Time) bool {
	return !v.probe.usable.RequestedAt.IsZero() && now.Sub(v.probe.usable.RequestedAt) <= MaxEvidenceAge
}

// IsFreshByWitnesses reports whether the evidence of the witnesses alone makes the VM fresh at the moment now.
func (v FreshnessView) IsFreshByWitnesses(now time.Time) bool {
	n := 0
	for _, name := range v.witnesses.VMs {
		if name == v.SelfName {
			if v.canVouch {
				n++
			}
			continue
		}
		c, ok := v.evidence[name]
		if ok && !c.usable.RequestedAt.IsZero() && now.Sub(c.usable.RequestedAt) <= MaxEvidenceAge {
			n++
		}
	}
	if v.acceptsMinority {
		return n > 0
	}
	return n >= v.witnesses.MajoritySize()
}

// MajoritySize returns the smallest number of members that forms a majority. For an empty set the result is 1, which no
// number of members reaches.
func (w WitnessSet) MajoritySize() int { return len(w.VMs)/2 + 1 }

// AllowVouchingIfFresh returns a view that permits the VM to give evidence (to vouch) if its configuration is fresh.
// A VM that has been fresh once holds every version that its earlier incarnations acknowledged, so it may give evidence
// to other VMs and count itself as a witness.
func (v FreshnessView) AllowVouchingIfFresh(now time.Time) FreshnessView {
	v.canVouch = v.canVouch || v.IsFresh(now)
	return v
}

// CanVouch reports whether the VM may give evidence to other VMs.
func (v FreshnessView) CanVouch() bool { return v.canVouch }

// Witnesses returns the witness set of the configuration that the VM holds.
func (v FreshnessView) Witnesses() WitnessSet { return v.witnesses }

// RecentEvidence returns the latest evidence of each witness that has not expired at the moment now.
func (v FreshnessView) RecentEvidence(now time.Time) []Evidence {
	var out []Evidence
	for _, name := range v.witnesses.VMs {
		if e := v.evidence[name].latest; !e.RequestedAt.IsZero() && now.Sub(e.RequestedAt) <= MaxEvidenceAge {
			out = append(out, e)
		}
	}
	return out
}
