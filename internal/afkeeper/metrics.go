package afkeeper

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Metrics counts orders to engines and changes of the placement lease. The zero value counts nothing.
type Metrics struct {
	orders       *prometheus.CounterVec
	storeLoads   prometheus.Counter
	leaseChanges prometheus.Counter
}

// NewMetrics returns Metrics with counters registered in r.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	return Metrics{
		orders: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_orders_total", Help: "Orders to engines by what they do and how they were answered.",
		}, []string{"action", "result"}),
		storeLoads: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_store_loads_total", Help: "Accepted loads that read from the weight store.",
		}),
		leaseChanges: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_placement_changes_total", Help: "Times that this VM took or lost the placement duty.",
		}),
	}
}

// countOrder counts an order and, if it was accepted, its load from the weight store.
func (m Metrics) countOrder(planned afassign.PlannedOrder, result afengine.Result) {
	if m.orders == nil {
		return
	}
	m.orders.WithLabelValues(orderAction(planned.Order), result.String()).Inc()
	if planned.LoadsFromStore && result == afengine.ResultAccepted {
		m.storeLoads.Inc()
	}
}

func (m Metrics) countLeaseChange() {
	if m.leaseChanges != nil {
		m.leaseChanges.Inc()
	}
}

// orderAction returns the value of the action label for an order.
func orderAction(o afengine.Order) string {
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
