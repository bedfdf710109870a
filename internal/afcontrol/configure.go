package afcontrol

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// configure brings the shards in line with a new configuration.
func (s *Service) configure(now time.Time) {
	snap := s.Snapshot()
	if snap == nil || snap == s.config {
		return
	}
	s.config = snap
	s.counts = make(map[string]int)
	configs := shardConfigs(snap)
	for name, sh := range s.shards {
		if _, ok := configs[name]; !ok {
			// A shard that is no longer needed has no endpoints, so that its record empties.
			s.step(sh, afplacement.ConfigChanged{Config: afplacement.Config{Service: sh.view.Config().Service}})
		}
	}
	for name, cfg := range configs {
		s.counts[cfg.Service.Name] = cfg.ShardCount
		sh := s.shards[name]
		if sh == nil {
			sh = &shard{name: name, polls: make(map[string]*poll)}
			sh.view = afplacement.NewView(s.Self, cfg)
			s.shards[name] = sh
			s.bootstrap(sh, cfg, now)
			continue
		}
		s.step(sh, afplacement.ConfigChanged{Config: cfg})
	}
	for _, ep := range snap.Endpoints() {
		if ep.Leaving {
			s.DropEndpoint(ep.Name)
		}
	}
}

// bootstrap makes a plain service's endpoints reachable before an owner has published them, so that they are
// served also while the platform is down.
func (s *Service) bootstrap(sh *shard, cfg afplacement.Config, now time.Time) {
	if cfg.Service.Kind != arbutusfork.ServicePlain {
		return
	}
	if _, ok := s.RoutingTable().Part(sh.name); !ok {
		s.adopt(sh.view.BuildPart(sh.name, nil, now))
	}
}

// shardConfigs divides the configuration over shards.
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
		if cfg, ok := out[afplacement.ShardName(m.Service, afplacement.ShardIndex(m.Base(), n))]; ok {
			cfg.Models[m.Name] = m
		}
	}
	return out
}

// ReleaseShards gives up all shards and waits until the record of each says so, or ctx ends.
func (s *Service) ReleaseShards(ctx context.Context) error {
	freed := make(chan struct{})
	start := func() {
		for _, sh := range s.shards {
			s.step(sh, afplacement.ReleaseRequested{})
		}
	}
	if !s.ask(ctx, start) {
		return &Error{Op: "release", Kind: ServiceEnded, Err: ctx.Err()}
	}
	sub := s.Timer.Every(tick, func(time.Time) {
		s.ring.Push(func() {
			select {
			case <-freed:
				return
			default:
			}
			for _, sh := range s.shards {
				if sh.view.IsRecordedOwner() {
					return
				}
			}
			close(freed)
		})
	})
	defer sub.Stop()
	select {
	case <-freed:
		return nil
	case <-s.ended:
		return &Error{Op: "release", Kind: ServiceEnded}
	case <-ctx.Done():
		return &Error{Op: "release", Kind: ServiceEnded, Err: ctx.Err()}
	}
}
