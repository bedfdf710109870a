package afassign

import "time"

// maxEarlyRefusalAge is how long a model may be without an engine while its requests are still refused early. After that
// they wait, so that a rarely requested model is loaded too.
const maxEarlyRefusalAge = 4 * time.Second

// queueStoreLoad records the minimum delay until a model can be loaded from the weight store, behind the models that were
// queued earlier in this call of PlanOrders. The estimate ignores loads that may be started in between, so that no request
// is refused that could still be served.
func (p *planner) queueStoreLoad(model string) {
	if p.replicas[model] > 0 || p.waitingRequests[model] == 0 || p.diskCopies[model] > 0 {
		return
	}
	load := p.EngineSpec.Models[model].StoreLoadTime
	if p.decision.MinLoadDelays == nil {
		p.decision.MinLoadDelays = make(map[string]time.Duration)
	}
	if p.UnservedDurations[model] <= maxEarlyRefusalAge {
		p.decision.MinLoadDelays[model] = time.Duration(p.queuedStoreLoads)*p.storeLoadInterval(load) + load
	}
	p.queuedStoreLoads++
}

// storeLoadInterval returns the average time between the starts of two loads from the weight store.
func (p *planner) storeLoadInterval(load time.Duration) time.Duration {
	period := load / time.Duration(max(p.MaxStoreLoads, 1))
	if r := p.EngineSpec.LoadsPerSecond; r > 0 {
		period = max(period, time.Duration(float64(time.Second)/r))
	}
	return period
}
