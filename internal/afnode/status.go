package afnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"arbutusfork.example/arbutusfork/internal/affeed"
)

const (
	// readPatience bounds the reading of a status request and the idle time between two.
	readPatience = 5 * time.Second
	// platformIdle ends unused connections to the platform.
	platformIdle = 10 * time.Second
	// aliveIdle and the following notice a connection that has gone silent within about 3 s.
	aliveIdle     = time.Second
	aliveInterval = time.Second
	aliveCount    = 2
)

// serveReady answers the balancer's checks. The VM is ready while it knows a configuration and is not stopping.
func (n *Node) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || n.table.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return n.serveStatus(ctx, n.ready, mux)
}

func (n *Node) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return n.serveStatus(ctx, n.metrics, mux)
}

// listen binds every address but the peers' one, before any part runs: nbio's accept loop spins if its engine is stopped
// while it starts, as a part that cannot bind its address would cause.
func (n *Node) listen() error {
	if err := n.entry.Listen(); err != nil {
		return err
	}
	var err error
	if n.ready, err = net.Listen("tcp", n.Settings.ReadyAddress); err != nil {
		return err
	}
	n.metrics, err = net.Listen("tcp", n.Settings.MetricsAddress)
	return err
}

func (n *Node) serveStatus(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadTimeout: readPatience, IdleTimeout: readPatience}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func platformTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         callTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: aliveIdle, Interval: aliveInterval, Count: aliveCount},
	}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: platformIdle}
}

// collectFeed registers how the copy of a kind is kept.
func (n *Node) collectFeed(kind string, f *affeed.Feed) {
	labels := prometheus.Labels{"kind": kind}
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusfork_platform_reached", Help: "1 while the copy of the kind is kept, 0 while the platform is not reached.",
		ConstLabels: labels,
	}, func() float64 {
		if away, _ := f.PlatformStatus(); away {
			return 0
		}
		return 1
	}), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "arbutusfork_platform_losses_total", Help: "Times that the platform was lost for the copy of the kind.", ConstLabels: labels,
	}, func() float64 {
		_, losses := f.PlatformStatus()
		return float64(losses)
	}))
}

// collect registers what is read when the metrics are asked for.
func (n *Node) collect() {
	gauge := func(name, help string, fn func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, fn))
	}
	counter := func(name, help string, fn func() float64) {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, fn))
	}
	gauge("arbutusfork_config_version", "Version of the configuration in force.", func() float64 {
		if t := n.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	gauge("arbutusfork_placement_held", "1 while this VM holds the placement duty.", func() float64 {
		if n.keeper.HoldsLease() {
			return 1
		}
		return 0
	})
	gauge("arbutusfork_vms", "VMs that answer, this one included.", func() float64 { return float64(len(n.peers.LiveMembers())) })
	gauge("arbutusfork_endpoints", "Endpoints that are listed.", func() float64 { return float64(len(n.roster.Entries())) })
	counter("arbutusfork_platform_reads_total", "Reads of the platform.", func() float64 { return float64(n.client.ReadCount.Load()) })
	counter("arbutusfork_platform_writes_total", "Writes to the platform.", func() float64 { return float64(n.client.WriteCount.Load()) })
	counter("arbutusfork_log_dropped_total", "Log lines left out because the reader was slow.", func() float64 { return float64(n.logs.Dropped()) })
}
