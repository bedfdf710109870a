package afserve

import (
	"encoding/json"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/internal/afquota"
)

// statusAnswer is what an operator sees of one VM.
type statusAnswer struct {
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

// platformCalls counts the calls to the platform since the start.
type platformCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// ready reports whether the VM takes callers' requests, and otherwise why not.
func (s *Server) ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "shutting down"
	case s.sync.Version() == 0:
		return false, "no configuration yet"
	case !s.sync.IsFresh(s.timer.Now()):
		return false, "configuration not known to be recent"
	}
	return true, ""
}

func (s *Server) status() any {
	ready, reason := s.ready()
	return statusAnswer{
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
			Reads:   s.client.ReadCount.Load(),
			Writes:  s.client.WriteCount.Load(),
			Watches: s.client.WatchCount.Load(),
		},
	}
}

// placementState is the last entry of an explanation of a model.
type placementState struct {
	Msg string `json:"msg"`
	afcontrol.Explanation
}

// explainRequest returns the recorded decision lines on a request or a model, and for a model how it stands now.
func (s *Server) explainRequest(request, model string) (any, bool) {
	found, ok := s.explain.Explain(request, model)
	if model == "" {
		return found, ok
	}
	lines, _ := found.([]json.RawMessage)
	state, err := json.Marshal(placementState{Msg: "placement now", Explanation: s.control.ExplainModel(model)})
	if err != nil {
		return found, ok
	}
	return append(lines, state), true
}

// collect registers the metrics of the slices.
func (s *Server) collect() {
	s.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		s.quota,
		s.booking,
		s.gauge("arbutusfork_configuration_version", "Version of the configuration in force.",
			func() float64 { return float64(s.sync.Version()) }),
		s.gauge("arbutusfork_configuration_fresh", "1 while the configuration is known to be recent.",
			func() float64 {
				if s.sync.IsFresh(s.timer.Now()) {
					return 1
				}
				return 0
			}),
		s.gauge("arbutusfork_requests_waiting", "Requests that wait for a replica.",
			func() float64 {
				n := 0
				for _, waiting := range s.dispatch.CountWaitingByModel() {
					n += waiting
				}
				return float64(n)
			}),
		s.gauge("arbutusfork_shards_owned", "Placement shards that this VM owns.",
			func() float64 { return s.sumOwned(func(afcontrol.ShardStatus) int { return 1 }) }),
		s.gauge("arbutusfork_senders_exposed", "Earlier owners of this VM's shards whose orders may still arrive.",
			func() float64 {
				return s.sumOwned(func(sh afcontrol.ShardStatus) int { return len(sh.ExposedSenders) })
			}),
		s.gauge("arbutusfork_members", "VMs that are believed to be live.",
			func() float64 { return float64(len(s.peers.LiveMembers())) }),
		s.counter("arbutusfork_platform_reads_total", "Reads of the platform's object API.",
			func() float64 { return float64(s.client.ReadCount.Load()) }),
		s.counter("arbutusfork_platform_writes_total", "Writes to the platform's object API.",
			func() float64 { return float64(s.client.WriteCount.Load()) }),
		s.counter("arbutusfork_peer_sent_bytes_total", "Bytes sent to other VMs.",
			func() float64 { return float64(s.peers.Stats().BytesSent) }),
		s.counter("arbutusfork_peer_messages_sent_total", "Messages sent to other VMs.",
			func() float64 { return float64(s.peers.Stats().MessagesSent) }),
	)
}

// sumOwned adds up a number of each shard that this VM owns.
func (s *Server) sumOwned(count func(afcontrol.ShardStatus) int) float64 {
	n := 0
	for _, shard := range s.control.ShardStatuses() {
		if shard.HasLease {
			n += count(shard)
		}
	}
	return float64(n)
}

func (s *Server) gauge(name, help string, fn func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, fn)
}

func (s *Server) counter(name, help string, fn func() float64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, fn)
}
