package afplacement

import "time"

// Reported is one VM's demand for several models, or the reports of several endpoints. It is decided on once, since a
// decision looks at all models.
type Reported struct {
	Wanted  []Wanted
	Arrived []Arrived
	// Observed are in the order in which they came.
	Observed []Observed
}

func (Reported) event() {}

func (v View) reported(e Reported, now time.Time) View {
	for _, o := range e.Observed {
		v = v.observed(o)
	}
	for _, a := range e.Arrived {
		v = v.arrived(a, now)
	}
	for _, w := range e.Wanted {
		v = v.wanted(w, now)
	}
	return v
}
