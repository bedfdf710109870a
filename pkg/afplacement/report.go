package afplacement

import "time"

// ReportBatch is one VM's demand for several models, or the reports of several endpoints. It is decided on once, since a
// decision looks at all models.
type ReportBatch struct {
	Demand   []DemandReported
	Arrivals []RequestsArrived
	// Statuses are in the order in which they came.
	Statuses []StatusPolled
}

func (ReportBatch) event() {}

func (v View) reported(e ReportBatch, now time.Time) View {
	for _, o := range e.Statuses {
		v = v.observed(o)
	}
	for _, a := range e.Arrivals {
		v = v.arrived(a, now)
	}
	for _, w := range e.Demand {
		v = v.wanted(w, now)
	}
	return v
}
