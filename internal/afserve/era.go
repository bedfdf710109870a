package afserve

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// handleEraChange logs that the platform's store came back from an older copy, and has the list of VMs doubted, the claims
// written again and the share records read again.
func (s *Server) handleEraChange(c afobject.EraChange) {
	if c.Problem != "" {
		s.log.Error("era of the platform's store unsound, answers ignored", "era", c.Current, "problem", c.Problem)
		return
	}
	if c.Current <= c.Previous {
		s.log.Info("era of the platform's store sound again", "era", c.Current)
		return
	}
	s.log.Warn("era of the platform's store changed", "era", c.Current, "before", c.Previous)
	s.updateDepartures(func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker {
		return d.WithListReset(now)
	})
	s.booking.RecordEra(c.Current)
	s.quota.RecordEra(c.Current)
}

// otherVMs returns the names of the other VMs that may be alive, or false as long as this VM has no list of VMs.
func (s *Server) otherVMs() (names []string, known bool) {
	view, listedAt := s.sync.ListedMembership()
	for _, vm := range view.PossiblyAliveVMs() {
		if vm.Name != s.self.VM {
			names = append(names, vm.Name)
		}
	}
	return names, !listedAt.IsZero()
}
