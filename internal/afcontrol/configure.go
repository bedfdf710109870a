package afcontrol

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// applyConfig updates the shards after a change of the configuration.
func (s *Service) applyConfig(now time.Time) {
	snap := s.Snapshot()
	if snap == nil || snap == s.config {
		return
	}
	s.config = snap
	s.shardCounts = make(map[string]int)
	configs := shardConfigs(snap)
	for name, sh := range s.shards {
		if _, ok := configs[name]; !ok {
			// A shard that is no longer configured gets no endpoints, so that its assignments and orders are dropped.
			s.applyEvent(sh, afplacement.ConfigChanged{Config: afplacement.Config{Service: sh.view.Config().Service}})
		}
	}
	for name, cfg := range configs {
		s.shardCounts[cfg.Service.Name] = cfg.ShardCount
		sh := s.shards[name]
		if sh == nil {
			sh = &shard{name: name, polls: make(map[string]*pollState)}
			sh.view = afplacement.NewView(s.Self, cfg)
			s.shards[name] = sh
			s.adoptPlainService(sh, cfg, now)
			continue
		}
		s.applyEvent(sh, afplacement.ConfigChanged{Config: cfg})
	}
	for _, ep := range snap.Endpoints() {
		if ep.IsLeaving {
			s.DropEndpoint(ep.Name)
		}
	}
}

// adoptPlainService adds a plain service's endpoints to the routing table before an owner has published them, so that
// requests reach them even while the platform is down.
func (s *Service) adoptPlainService(sh *shard, cfg afplacement.Config, now time.Time) {
	if cfg.Service.Kind != arbutusfork.ServicePlain {
		return
	}
	if _, ok := s.RoutingTable().Part(sh.name); !ok {
		s.adoptPart(sh.view.BuildPart(sh.name, nil, now))
	}
}

// shardConfigs divides the configuration into those of the shards, by shard name.
func shardConfigs(snap *afconfig.Snapshot) map[string]afplacement.Config {
	endpoints := make(map[string][]arbutusfork.Endpoint)
	for _, ep := range snap.Endpoints() {
		endpoints[ep.Service] = append(endpoints[ep.Service], ep)
	}
	out := make(map[string]afplacement.Config)
	for _, service := range snap.Services() {
		n := afplacement.ShardCount(len(endpoints[service.Name]))
		for i := range n {
			out[afplacement.ShardName(service.Name, i)] = afplacement.Config{
				Service: service, ShardCount: n, Sheet: snap.Sheet().Rows,
				Endpoints: make(map[string]arbutusfork.Endpoint), Models: make(map[string]arbutusfork.Model),
			}
		}
		for _, ep := range endpoints[service.Name] {
			name := afplacement.ShardName(service.Name, afplacement.ShardIndex(ep.Name, n))
			out[name].Endpoints[ep.Name] = ep
		}
	}
	for _, m := range snap.Models() {
		n := afplacement.ShardCount(len(endpoints[m.Service]))
		if cfg, ok := out[afplacement.ShardName(m.Service, afplacement.ShardIndex(m.BaseName(), n))]; ok {
			cfg.Models[m.Name] = m
		}
	}
	return out
}

// ReleaseShards releases all shards and waits until no record names this VM as owner, or ctx ends.
func (s *Service) ReleaseShards(ctx context.Context) error {
	released := make(chan struct{})
	requestRelease := func() {
		for _, sh := range s.shards {
			s.applyEvent(sh, afplacement.ReleaseRequested{})
		}
	}
	if !s.runOnLoop(ctx, requestRelease) {
		return &Error{Op: "release shards", Kind: ServiceEnded, Err: ctx.Err()}
	}
	sub := s.Timer.CallEvery(tickInterval, func(time.Time) {
		s.loopQueue.TryPush(func() {
			select {
			case <-released:
				return
			default:
			}
			for _, sh := range s.shards {
				if sh.view.IsRecordedOwner() {
					return
				}
			}
			close(released)
		})
	})
	defer sub.Stop()
	select {
	case <-released:
		return nil
	case <-s.ended:
		return &Error{Op: "release shards", Kind: ServiceEnded}
	case <-ctx.Done():
		return &Error{Op: "release shards", Kind: ServiceEnded, Err: ctx.Err()}
	}
}
