package afserve

import "arbutusfork.example/arbutusfork/pkg/afobject"

// handleEraChange logs that the platform's store came back from an older copy, and has the claims written and the share records read again.
func (s *Server) handleEraChange(c afobject.EraChange) {
	if c.Problem != "" {
		s.log.Error("era of the platform's store unsound, answers ignored", "era", c.Current, "problem", c.Problem)
		return
	}
	s.log.Warn("era of the platform's store changed", "era", c.Current, "before", c.Previous)
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
