package afserve

import (
	"context"
	"time"
)

// leaveTimeout bounds giving up shards, shares and claims after the last request.
const leaveTimeout = 5 * time.Second

// drain starts the graceful shutdown and returns at once.
func (s *Server) drain() {
	s.drainOnce.Do(func() { close(s.draining) })
}

// shutdown stops taking requests, finishes those that wait or run, and hands over what this VM holds.
func (s *Server) shutdown(ctx context.Context) {
	s.stopping.Store(true)
	s.log.Info("graceful shutdown started", "settle", s.Settings.Settle, "drain", s.Settings.Drain)
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Drain)
	defer cancel()
	// The balancer learns from the readiness check; until then requests are served as usual.
	s.timer.Sleep(ctx, s.Settings.Settle)
	s.entry.Drain(ctx)
	leave, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	if err := s.control.ReleaseShards(leave); err != nil {
		s.log.Warn("shards not handed over; they are taken over when the lease ends", "error", err)
	}
	s.quota.ReleaseShares(leave)
	s.booking.Flush(leave)
	s.peers.AnnounceLeaving()
}
