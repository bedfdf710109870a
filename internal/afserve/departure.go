package afserve

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

// heard notes that an incarnation runs.
func (s *Server) heard(i arbutusfork.Incarnation) {
	s.depart(func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker {
		return d.WithMessageFrom(i, now)
	})
}

// gone reports whether the incarnation can no longer act.
func (s *Server) gone(i arbutusfork.Incarnation) bool {
	if i.VM == s.self.VM {
		// This process is the VM's only daemon, so an earlier one has ended.
		return i.Start < s.self.Start
	}
	if !s.departures.Load().HasIncarnation(i) {
		s.depart(func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker {
			return d.WithIncarnation(i, now)
		})
	}
	view, read := s.sync.ListedMembership()
	return s.departures.Load().IsGone(i, view, read)
}

func (s *Server) depart(fn func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker) {
	for {
		old := s.departures.Load()
		next := fn(*old, s.timer.Now())
		if s.departures.CompareAndSwap(old, &next) {
			return
		}
	}
}
