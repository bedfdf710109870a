package afserve

import (
	"encoding/json"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/internal/afquota"
)

// vmStatus is the status of one VM in the API for operators.
type vmStatus struct {
	VM       string                  `json:"vm"`
	Centre   string                  `json:"centre"`
	Ready    bool                    `json:"ready"`
	Reason   string                  `json:"reason,omitempty"`
	Version  int64                   `json:"version"`
	Fresh    bool                    `json:"fresh"`
	Members  []arbutusfork.VM        `json:"members"`
	Shards   []afcontrol.ShardStatus `json:"shards"`
	Limits   []afquota.Status        `json:"limits"`
	Platform platformCalls           `json:"platform"`
}

// platformCalls counts the calls to the platform since the daemon started.
type platformCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// checkReady reports whether the VM is ready for callers' requests. If it is not, the string is the reason.
func (s *Server) checkReady() (bool, string) {
	switch {
	case s.isStopping.Load():
		return false, "shutting down"
	case s.sync.Version() == 0:
		return false, "no configuration yet"
	case !s.sync.IsFresh(s.timer.Now()):
		return false, "configuration not known to be recent"
	}
	return true, ""
}

// buildStatus returns the current status of the VM.
func (s *Server) buildStatus() any {
	ready, reason := s.checkReady()
	return vmStatus{
		VM:      s.self.VM,
		Centre:  s.Settings.Centre,
		Ready:   ready,
		Reason:  reason,
		Version: s.sync.Version(),
		Fresh:   s.sync.IsFresh(s.timer.Now()),
		Members: s.peers.LiveMembers(),
		Shards:  s.control.ShardStatuses(),
		Limits:  s.quota.Status(),
		Platform: platformCalls{
			Reads:   s.platformClient.ReadCount.Load(),
			Writes:  s.platformClient.WriteCount.Load(),
			Watches: s.platformClient.WatchCount.Load(),
		},
	}
}

// placementState is the last entry in the explanation of a model. It holds the current placement.
type placementState struct {
	Msg string `json:"msg"`
	afcontrol.Explanation
}

// explainRequest returns the recorded log lines of decisions about a request or a model. For a model, it appends the current
// placement.
func (s *Server) explainRequest(request, model string) (any, bool) {
	decisions, ok := s.explain.ExplainDecisions(request, model)
	if model == "" {
		return decisions, ok
	}
	lines, _ := decisions.([]json.RawMessage)
	state, err := json.Marshal(placementState{Msg: "placement now", Explanation: s.control.ExplainModel(model)})
	if err != nil {
		return decisions, ok
	}
	return append(lines, state), true
}

// registerMetrics registers the metrics of the daemon and its components.
func (s *Server) registerMetrics() {
	s.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		s.quota,
		s.booking,
		s.newGauge("arbutusfork_configuration_version", "Version of the configuration in force.",
			func() float64 { return float64(s.sync.Version()) }),
		s.newGauge("arbutusfork_configuration_fresh", "1 while the configuration is known to be recent.",
			func() float64 {
				if s.sync.IsFresh(s.timer.Now()) {
					return 1
				}
				return 0
			}),
		s.newGauge("arbutusfork_requests_waiting", "Requests that wait for a replica.",
			func() float64 {
				n := 0
				for _, waiting := range s.dispatch.CountWaitingByModel() {
					n += waiting
				}
				return float64(n)
			}),
		s.newGauge("arbutusfork_shards_owned", "Placement shards that this VM owns.",
			func() float64 { return s.sumOwnedShards(func(afcontrol.ShardStatus) int { return 1 }) }),
		s.newGauge("arbutusfork_senders_exposed", "Earlier owners of this VM's shards whose orders may still arrive.",
			func() float64 {
				return s.sumOwnedShards(func(sh afcontrol.ShardStatus) int { return len(sh.ExposedSenders) })
			}),
		s.newGauge("arbutusfork_members", "VMs that are believed to be live.",
			func() float64 { return float64(len(s.peers.LiveMembers())) }),
		s.newCounter("arbutusfork_platform_reads_total", "Reads of the platform's object API.",
			func() float64 { return float64(s.platformClient.ReadCount.Load()) }),
		s.newCounter("arbutusfork_platform_writes_total", "Writes to the platform's object API.",
			func() float64 { return float64(s.platformClient.WriteCount.Load()) }),
		s.newCounter("arbutusfork_peer_sent_bytes_total", "Bytes sent to other VMs.",
			func() float64 { return float64(s.peers.Stats().BytesSent) }),
		s.newCounter("arbutusfork_peer_messages_sent_total", "Messages sent to other VMs.",
			func() float64 { return float64(s.peers.Stats().MessagesSent) }),
	)
}

// sumOwnedShards returns the sum of countShard over the shards that this VM owns.
func (s *Server) sumOwnedShards(countShard func(afcontrol.ShardStatus) int) float64 {
	sum := 0
	for _, shard := range s.control.ShardStatuses() {
		if shard.HasLease {
			sum += countShard(shard)
		}
	}
	return float64(sum)
}

// newGauge returns a gauge whose value is read from fn.
func (s *Server) newGauge(name, help string, fn func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, fn)
}

// newCounter returns a counter whose value is read from fn.
func (s *Server) newCounter(name, help string, fn func() float64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, fn)
}
