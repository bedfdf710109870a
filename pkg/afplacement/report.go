package afplacement

import "time"

// ReportBatch is one VM's demand for several models, or the status of several endpoints. View.Step decides only once
// for the whole batch, since a decision considers all models.
type ReportBatch struct {
	Demand   []DemandReported
	Arrivals []RequestsArrived
	// Statuses are the endpoint reports in the order in which they arrived.
	Statuses []StatusPolled
}

func (ReportBatch) event() {}

func (v View) applyReportBatch(e ReportBatch, now time.Time) View {
	for _, o := range e.Statuses {
		v = v.applyStatus(o)
	}
	for _, a := range e.Arrivals {
		v = v.applyArrivals(a, now)
	}
	for _, w := range e.Demand {
		v = v.applyDemand(w, now)
	}
	return v
}
