package afkeeper

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
)

// unservedModelTimeout is how long a model that no engine holds is tracked after its last waiting request. Refused callers
// retry within seconds.
const unservedModelTimeout = 20 * time.Second

// unservedModel is a requested model that no engine has held since the first request.
type unservedModel struct {
	firstRequestedAt, lastRequestedAt time.Time
}

// recordUnservedModels updates unservedModels and returns for how long each of these models has been requested without an
// engine. Refused requests do not wait, so without this record their models would lose their priority.
func (s *Service) recordUnservedModels(demand []afassign.Demand, now time.Time) map[string]time.Duration {
	if s.unservedModels == nil {
		s.unservedModels = make(map[string]unservedModel)
	}
	for _, d := range demand {
		if d.WaitingRequests == 0 {
			continue
		}
		u, ok := s.unservedModels[d.Model]
		if !ok {
			u.firstRequestedAt = now
		}
		u.lastRequestedAt = now
		s.unservedModels[d.Model] = u
	}
	loaded := s.listLoadedModels(now)
	out := make(map[string]time.Duration, len(s.unservedModels))
	for model, u := range s.unservedModels {
		if loaded[model] || now.Sub(u.lastRequestedAt) > unservedModelTimeout {
			delete(s.unservedModels, model)
			continue
		}
		out[model] = now.Sub(u.firstRequestedAt)
	}
	return out
}
