package afcontrol

import (
	"context"
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// ShardStatus is the state of one shard as this VM has it, for operators.
type ShardStatus struct {
	Name string `json:"name"`
	// HasLease means that this VM owns the shard with a valid lease.
	HasLease bool               `json:"owned"`
	Version  int64              `json:"version"`
	Record   afplacement.Record `json:"record"`
	// ExposedSenders are earlier owners whose orders may still be carried out.
	ExposedSenders []string `json:"exposed,omitempty"`
	// ChargedMemory is the charged memory in MB by endpoint.
	ChargedMemory map[string]int64 `json:"used"`
}

// ShardStatuses returns the state of each shard, sorted by name.
func (s *Service) ShardStatuses() []ShardStatus {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out []ShardStatus
	s.runOnLoop(ctx, func() {
		for _, sh := range s.shards {
			r, version := sh.view.Record()
			st := ShardStatus{Name: sh.name, HasLease: sh.view.HasLease(s.Timer.Now()), Version: version, Record: r, ChargedMemory: make(map[string]int64)}
			for _, sender := range sh.view.ExposedSenders() {
				st.ExposedSenders = append(st.ExposedSenders, sender.String())
			}
			for name := range sh.view.Config().Endpoints {
				st.ChargedMemory[name] = sh.view.ChargedMemory(r, name)
			}
			out = append(out, st)
		}
	})
	slices.SortFunc(out, func(a, b ShardStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Explanation is the state of a model's placement, for operators.
type Explanation struct {
	Model string `json:"model"`
	Shard string `json:"shard"`
	Owner string `json:"owner"`
	// HasLease means that this VM owns the shard with a valid lease. Otherwise only the routing table is available
	// here.
	HasLease bool                  `json:"owned"`
	Replicas []afplacement.Replica `json:"replicas"`
	// TimeToReady is the published estimate of the time until the model can serve.
	TimeToReady time.Duration `json:"ready,omitempty"`
	// Inputs holds the inputs of the next decision. It is empty unless HasLease.
	Inputs afplacement.DecisionInputs `json:"insight"`
}

// ExplainModel returns the state of the model's placement and, if this VM owns the shard, the inputs of the decisions.
func (s *Service) ExplainModel(model string) Explanation {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out := Explanation{Model: model, Replicas: s.RoutingTable().Replicas(model)}
	out.TimeToReady, _ = s.RoutingTable().TimeToReady(model)
	s.runOnLoop(ctx, func() {
		out.Shard = s.shardOf(model)
		sh := s.shards[out.Shard]
		if sh == nil {
			return
		}
		now := s.Timer.Now()
		out.Owner, out.HasLease = s.currentOwner(sh), sh.view.HasLease(now)
		if out.HasLease {
			out.Inputs = sh.view.ExplainModel(model, now)
		}
	})
	return out
}
