package afplacement

import "time"

// Reported is one VM's demand for several models. It is decided on once, since a decision looks at all models.
type Reported struct {
	Wanted  []Wanted
	Arrived []Arrived
}

func (Reported) event() {}

func (v View) reported(e Reported, now time.Time) View {
	for _, a := range e.Arrived {
		v = v.arrived(a, now)
	}
	for _, w := range e.Wanted {
		v = v.wanted(w, now)
	}
	return v
}
