package afkeeper

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Metrics counts what the holder does. The zero value counts nothing.
type Metrics struct {
	orders     *prometheus.CounterVec
	storeLoads prometheus.Counter
	changes    prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	return Metrics{
		orders: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_orders_total", Help: "Orders to engines by what they do and how they were answered.",
		}, []string{"action", "result"}),
		storeLoads: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_store_loads_total", Help: "Accepted loads that read from the weight store.",
		}),
		changes: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_placement_changes_total", Help: "Times that this VM took or lost the placement duty.",
		}),
	}
}

func (m Metrics) order(step afassign.PlannedOrder, result afengine.Result) {
	if m.orders == nil {
		return
	}
	m.orders.WithLabelValues(action(step.Order), result.String()).Inc()
	if step.LoadsFromStore && result == afengine.ResultAccepted {
		m.storeLoads.Inc()
	}
}

func (m Metrics) change() {
	if m.changes != nil {
		m.changes.Inc()
	}
}

// action names what an order does.
func action(o afengine.Order) string {
	switch {
	case o.Adapter != "" && o.IsUnload:
		return "unload_adapter"
	case o.Adapter != "":
		return "load_adapter"
	case o.IsUnload:
		return "unload_model"
	}
	return "load_model"
}
