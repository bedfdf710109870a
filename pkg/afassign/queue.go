package afassign

import "time"

// refusedTime is for how long requests of a model without an engine may be refused early. After that they wait, so that
// a model which is asked for now and then gets its turn.
const refusedTime = 4 * time.Second

// queue notes that a model which requests wait for must wait for the weight store, behind those that were noted before.
// The estimate leaves out what may come in between, so that no request is given up that could still be served.
func (p *planner) queue(model string) {
	if p.replicas[model] > 0 || p.waiting[model] == 0 || p.onDisk[model] > 0 {
		return
	}
	load := p.EngineSpec.Models[model].StoreLoadTime
	if p.out.MinLoadDelays == nil {
		p.out.MinLoadDelays = make(map[string]time.Duration)
	}
	if p.UnservedDurations[model] <= refusedTime {
		p.out.MinLoadDelays[model] = time.Duration(p.ahead)*p.storePeriod(load) + load
	}
	p.ahead++
}

// storePeriod returns the time between two loads from the weight store.
func (p *planner) storePeriod(load time.Duration) time.Duration {
	period := load / time.Duration(max(p.MaxStoreLoads, 1))
	if r := p.EngineSpec.LoadsPerSecond; r > 0 {
		period = max(period, time.Duration(float64(time.Second)/r))
	}
	return period
}
