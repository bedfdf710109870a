package afcontrol

import (
	"context"
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// ShardStatus is an operator's view of one shard as this VM knows it.
type ShardStatus struct {
	Name    string             `json:"name"`
	Owned   bool               `json:"owned"`
	Version int64              `json:"version"`
	Record  afplacement.Record `json:"record"`
	// Exposed are earlier senders whose orders may still arrive.
	Exposed []string `json:"exposed,omitempty"`
	// Used is the charged memory in MB by endpoint.
	Used map[string]int64 `json:"used"`
}

// Status returns what this VM knows about each shard, in order of name.
func (s *Service) Status() []ShardStatus {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out []ShardStatus
	s.ask(ctx, func() {
		for _, sh := range s.shards {
			r, version := sh.view.Record()
			st := ShardStatus{Name: sh.name, Owned: sh.view.HasLease(s.Timer.Now()), Version: version, Record: r, Used: make(map[string]int64)}
			for _, sender := range sh.view.ExposedSenders() {
				st.Exposed = append(st.Exposed, sender.String())
			}
			for name := range sh.view.Config().Endpoints {
				st.Used[name] = sh.view.ChargedMemory(r, name)
			}
			out = append(out, st)
		}
	})
	slices.SortFunc(out, func(a, b ShardStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Explanation tells an operator how a model stands.
type Explanation struct {
	Model string `json:"model"`
	Shard string `json:"shard"`
	Owner string `json:"owner"`
	// Owned tells that this VM owns the shard. Otherwise only the routing table is known here.
	Owned    bool                  `json:"owned"`
	Replicas []afplacement.Replica `json:"replicas"`
	// Ready is the published estimate until the model can serve.
	Ready time.Duration `json:"ready,omitempty"`
	// Insight holds the inputs of the next decision. It is empty unless Owned.
	Insight afplacement.DecisionInputs `json:"insight"`
}

// Explain returns the inputs of the decisions about a model.
func (s *Service) Explain(model string) Explanation {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out := Explanation{Model: model, Replicas: s.Table().Replicas(model)}
	out.Ready, _ = s.Table().TimeToReady(model)
	s.ask(ctx, func() {
		out.Shard = s.home(model)
		sh := s.shards[out.Shard]
		if sh == nil {
			return
		}
		now := s.Timer.Now()
		out.Owner, out.Owned = s.owner(sh), sh.view.HasLease(now)
		if out.Owned {
			out.Insight = sh.view.ExplainModel(model, now)
		}
	})
	return out
}
