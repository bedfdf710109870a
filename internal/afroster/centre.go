package afroster

import "arbutusfork.example/arbutusfork/pkg/afengine"

// IsInEvacuatedCentre reports whether the data centre of an endpoint is evacuated.
func (r *Roster) IsInEvacuatedCentre(e afengine.EndpointEntry) bool {
	return r.IsEvacuated != nil && r.IsEvacuated(e.Centre)
}

// CentreStatus sums up the listed endpoints of one data centre.
type CentreStatus struct {
	// Endpoints is the number of listed endpoints, and Withheld that of those that get no request because of an evacuation.
	Endpoints, Withheld int
	// OwnRequests is the number of this VM's requests in progress there, and OtherVMsRequests that of the other VMs in the latest view.
	OwnRequests, OtherVMsRequests int
	// Cold is the number of endpoints that are cold.
	Cold int
}

// CentreStatuses returns the status of each data centre that has a listed endpoint, by its name.
func (r *Roster) CentreStatuses() map[string]CentreStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]CentreStatus)
	isViewRecent := r.Now().Sub(r.viewReceivedAt) < viewTimeout
	for _, e := range r.endpoints {
		c := out[e.Centre]
		c.Endpoints++
		if r.IsInEvacuatedCentre(e.EndpointEntry) {
			c.Withheld++
		}
		if isCold, _ := r.coldStateOf(e.EndpointEntry); isCold {
			c.Cold++
		}
		c.OwnRequests += r.ownLoads[e.ID].Requests
		if isViewRecent {
			c.OtherVMsRequests += e.otherVMsLoad.Requests
		}
		out[e.Centre] = c
	}
	return out
}
