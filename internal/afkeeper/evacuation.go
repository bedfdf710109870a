package afkeeper

import "arbutusfork.example/arbutusfork"

// Evacuations connects the service to what this VM knows about evacuated data centres. The states are encoded. Without its functions,
// views and reports carry none.
type Evacuations struct {
	// EncodeState returns the state for a view, or nothing if it is not known.
	EncodeState func() []byte
	// ReportState returns the version of the state, and the state if the holder may not know it.
	ReportState func() (version int64, state []byte)
	// ApplyView is called with the state in each view, which is empty if the holder does not know it. ApplyReport is called with that
	// in a report.
	ApplyView, ApplyReport func(state []byte) error
}

// RequestView makes the holder send a view as soon as minUrgentViewInterval allows.
func (s *Service) RequestView() { s.requestView() }

// addEvacuations adds the state to a view.
func (s *Service) addEvacuations(v *placementView) {
	if s.Evacuations.EncodeState != nil {
		v.Evacuations = s.Evacuations.EncodeState()
	}
}

// reportEvacuations adds the version of the state, and the state if it is needed, to a report.
func (s *Service) reportEvacuations(r *vmReport) {
	if s.Evacuations.ReportState != nil {
		r.EvacuationVersion, r.Evacuations = s.Evacuations.ReportState()
	}
}

// applyEvacuations passes the state in a message to a function of Evacuations, which may be nil. The other parts of a message count
// although its state is malformed.
func (s *Service) applyEvacuations(apply func(state []byte) error, from arbutusfork.Incarnation, state []byte) {
	if apply == nil {
		return
	}
	if err := apply(state); err != nil {
		s.Log.Debug("evacuations of a message ignored", "from", from.VM, "error", err)
	}
}

// CountVMsBehind returns the number of VMs whose latest report names an older state of the evacuations than a version.
func (s *Service) CountVMsBehind(version int64) int {
	maxAge, now := scaleInterval(maxVMReportAge, s.ListedVMCount()), s.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, received := range s.vmReports {
		if now.Sub(received.receivedAt) <= maxAge && received.report.EvacuationVersion < version {
			n++
		}
	}
	return n
}
