package afnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"arbutusfork.example/arbutusfork/internal/afaccept"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afhead"
)

const (
	// statusTimeout bounds the time for reading a readiness or metrics request and the idle time between two requests.
	statusTimeout = 5 * time.Second
	// platformIdleConnTimeout closes unused connections to the platform.
	platformIdleConnTimeout = 10 * time.Second
	// keepAliveIdle is the idle time before the first TCP keep-alive probe. With keepAliveInterval and keepAliveProbes, a
	// dead connection is detected within about 3 s.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes that closes the connection.
	keepAliveProbes = 2
)

// serveReady serves the readiness checks of the load balancer. The VM is ready while it has a configuration and is not
// stopping, and knows the evacuations or did not learn them in time.
func (n *Node) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.isStopping.Load() || n.tables.Table() == nil || !n.knowsEvacuations() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return n.serveStatus(ctx, n.readyListener, mux)
}

// serveMetrics serves the Prometheus metrics, the configuration in force at /configuration, and what endpoints said about themselves
// at /notices, where operators lift it.
func (n *Node) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /configuration", n.serveConfiguration)
	mux.HandleFunc("GET /notices", n.serveNotices)
	mux.HandleFunc("POST /notices/{endpoint}/{kind}/lift", n.serveLift)
	if n.centres != nil {
		mux.HandleFunc("GET /centres", n.serveCentres)
	}
	return n.serveStatus(ctx, n.metricsListener, mux)
}

// listenAll binds all addresses but the one for other VMs before any part runs. A part that could not bind its address would
// stop the node while nbio's engine starts, and the accept loop of nbio spins if the engine is stopped then.
func (n *Node) listenAll() error {
	if err := n.entryServer.Listen(); err != nil {
		return err
	}
	var err error
	if n.readyListener, err = net.Listen("tcp", n.Settings.ReadyAddress); err != nil {
		return err
	}
	n.metricsListener, err = net.Listen("tcp", n.Settings.MetricsAddress)
	return err
}

// serveStatus serves HTTP requests on the listener until ctx ends.
func (n *Node) serveStatus(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadTimeout: statusTimeout, IdleTimeout: statusTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(afaccept.NewListener(l, n.timer, n.log)); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// newPlatformTransport returns a transport for calls to the platform.
func newPlatformTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         platformCallTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &http.Transport{DialContext: afhead.DialConns(d.DialContext), MaxIdleConnsPerHost: 4, IdleConnTimeout: platformIdleConnTimeout, MaxResponseHeaderBytes: platformMaxHeadBytes}
}

// newIgnoredObjects registers and returns the counter of the objects of the platform that were left out.
func newIgnoredObjects(r prometheus.Registerer) *prometheus.CounterVec {
	return promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusfork_platform_ignored_total", Help: "Versions of the platform's objects that were left out because they could not be decoded.",
	}, []string{"kind"})
}

// registerFeedMetrics registers the metrics of the feed of a kind.
func (n *Node) registerFeedMetrics(kind string, f *affeed.Feed) {
	labels := prometheus.Labels{"kind": kind}
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusfork_platform_reached", Help: "1 while the copy of the kind is kept, 0 while the platform is not reached.",
		ConstLabels: labels,
	}, func() float64 {
		if isLost, _ := f.PlatformStatus(); isLost {
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

// registerMetrics registers the metrics that are read at each scrape.
func (n *Node) registerMetrics() {
	gauge := func(name, help string, fn func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, fn))
	}
	counter := func(name, help string, fn func() float64) {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, fn))
	}
	gauge("arbutusfork_config_version", "Version of the configuration in force.", func() float64 {
		if t := n.tables.Table(); t != nil {
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
	gauge("arbutusfork_memory_limit_bytes", "Bound of the memory for what callers and endpoints send.", func() float64 { return float64(n.memory.LimitBytes()) })
	for _, kind := range afmemory.Kinds() {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "arbutusfork_memory_held_bytes", Help: "Reserved memory for what callers and endpoints send, by what holds it.",
			ConstLabels: prometheus.Labels{"kind": kind.String()},
		}, func() float64 { return float64(n.memory.ReservedBytesOf(kind)) }))
	}
	gauge("arbutusfork_endpoints", "Endpoints that are listed.", func() float64 { return float64(len(n.roster.Entries())) })
	gauge("arbutusfork_cold_endpoints", "Listed endpoints that are cold.", func() float64 { return float64(n.roster.ColdCount()) })
	gauge("arbutusfork_platform_era", "Era of the platform's store, which rises when it comes back from an older copy.", func() float64 { return float64(n.platformClient.Era()) })
	counter("arbutusfork_platform_reads_total", "Reads of the platform.", func() float64 { return float64(n.platformClient.ReadCount.Load()) })
	counter("arbutusfork_platform_writes_total", "Writes to the platform.", func() float64 { return float64(n.platformClient.WriteCount.Load()) })
	counter("arbutusfork_log_dropped_total", "Log lines left out because the reader was slow.", func() float64 { return float64(n.logWriter.DroppedLines()) })
}
