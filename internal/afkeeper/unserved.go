package afkeeper

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
)

// unservedLife is how long a model without an engine is remembered after the last request for it. Callers that were
// refused come back within seconds.
const unservedLife = 20 * time.Second

// unserved is a model that was asked for and that no engine has held since.
type unserved struct {
	since, asked time.Time
}

// noteUnserved remembers since when models are asked for in vain and returns for how long. Requests that are refused do
// not wait, so that their models would lose their turn otherwise.
func (s *Service) noteUnserved(wanted []afassign.Demand, now time.Time) map[string]time.Duration {
	if s.unserved == nil {
		s.unserved = make(map[string]unserved)
	}
	for _, d := range wanted {
		if d.WaitingRequests == 0 {
			continue
		}
		u, ok := s.unserved[d.Model]
		if !ok {
			u.since = now
		}
		u.asked = now
		s.unserved[d.Model] = u
	}
	held := s.heldModels(now)
	out := make(map[string]time.Duration, len(s.unserved))
	for model, u := range s.unserved {
		if held[model] || now.Sub(u.asked) > unservedLife {
			delete(s.unserved, model)
			continue
		}
		out[model] = now.Sub(u.since)
	}
	return out
}
