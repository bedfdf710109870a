package afserve

import (
	"context"
	"time"
)

// releaseTimeout limits the time for releasing shards and shares and storing claims after the last request.
const releaseTimeout = 5 * time.Second

// requestDrain makes Run start the graceful shutdown. It returns at once.
func (s *Server) requestDrain() {
	s.drainOnce.Do(func() { close(s.drainRequested) })
}

// shutdown waits until all requests have ended, and then releases the shards, shares and claims of this VM.
func (s *Server) shutdown(ctx context.Context) {
	s.isStopping.Store(true)
	s.log.Info("graceful shutdown started", "settle", s.Settings.SettleDelay, "drain", s.Settings.DrainTimeout)
	ctx, cancel := context.WithTimeout(ctx, s.Settings.DrainTimeout)
	defer cancel()
	// The load balancer stops sending requests when it sees the failing readiness check. Until then, requests are served as
	// usual.
	s.timer.Sleep(ctx, s.Settings.SettleDelay)
	s.entry.Drain(ctx)
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	if err := s.control.ReleaseShards(releaseCtx); err != nil {
		s.log.Warn("placement shards not released before their lease ends", "error", err)
	}
	s.quota.ReleaseShares(releaseCtx)
	s.booking.Flush(releaseCtx)
	s.peers.AnnounceLeaving()
}
