package afcontrol

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// minSummaryInterval is the interval at which VMs report demand in fleets of up to 100 VMs. New demand for a model
	// without a replica is reported at once.
	minSummaryInterval = time.Second
	// demandIdleTimeout is the time without requests after which a model is left out of the summaries.
	demandIdleTimeout = 5 * time.Second
)

// localDemand is this VM's demand for one model.
type localDemand struct {
	waitingRequests, runningRequests, arrivals int
	// changedAt is when the demand was last set or counted.
	changedAt time.Time
	// isUnreported means that the demand has changed since it was last reported.
	isUnreported bool
}

// demandMessage is the body of a demand message. Shard, PartVersion and LacksModel are set in a large fleet only.
type demandMessage struct {
	Rows []demandRow `msgpack:"rows"`
	// Shard is the shard of the rows.
	Shard string `msgpack:"shard,omitempty"`
	// PartVersion is the version of the shard's part that the reporting VM has.
	PartVersion afplacement.PartVersion `msgpack:"holds"`
	// LacksModel means that requests wait for a model that is missing in the VM's routing table.
	LacksModel bool `msgpack:"lacks,omitempty"`
}

// demandRow is encoded as an array, because field names would make up most of a message.
type demandRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack finds the field by its name.

	Model                            string
	WaitingRequests, RunningRequests int
	// Arrivals is the number of arrivals since the model's previous row.
	Arrivals int
}

// SetWaitingRequests sets the number of this VM's requests that wait for the model. The third argument, the earliest
// deadline of these requests, is not used.
func (s *Service) SetWaitingRequests(model string, waiting int, _ time.Time) {
	s.updateDemand(model, func(d *localDemand) bool {
		urgent := waiting > 0 && d.waitingRequests == 0
		d.isUnreported = d.isUnreported || d.waitingRequests != waiting
		d.waitingRequests = waiting
		return urgent
	})
}

// RecordArrival counts an arrival of a request for the model.
func (s *Service) RecordArrival(model string) {
	s.updateDemand(model, func(d *localDemand) bool {
		d.arrivals++
		return false
	})
}

// SetRunningRequests sets the number of this VM's requests that run on the model. A model with running requests is not
// unloaded.
func (s *Service) SetRunningRequests(model string, n int) {
	s.updateDemand(model, func(d *localDemand) bool {
		d.isUnreported = d.isUnreported || d.runningRequests != n
		d.runningRequests = n
		return false
	})
}

// updateDemand applies fn to the model's demand. If fn returns true, the demand is reported at once.
func (s *Service) updateDemand(model string, fn func(d *localDemand) bool) {
	s.init()
	now := s.Timer.Now()
	s.mu.Lock()
	d := s.demandByModel[model]
	if d == nil {
		d = &localDemand{}
		s.demandByModel[model] = d
	}
	d.changedAt = now
	wake := fn(d) && !s.wakePending
	if wake {
		s.wakePending = true
	}
	s.mu.Unlock()
	if wake && !s.loopQueue.TryPush(s.reportUrgentDemand) {
		s.mu.Lock()
		s.wakePending = false
		s.mu.Unlock()
	}
}

// reportUrgentDemand reports new demand for models without a replica.
func (s *Service) reportUrgentDemand() {
	table := s.RoutingTable()
	s.mu.Lock()
	s.wakePending = false
	rows := make(map[string][]demandRow)
	for model, d := range s.demandByModel {
		if d.waitingRequests > 0 && d.isUnreported && len(table.Replicas(model)) == 0 {
			rows[s.shardOf(model)] = append(rows[s.shardOf(model)], d.takeRow(model))
		}
	}
	s.mu.Unlock()
	s.sendDemand(rows)
}

// repeatUrgentDemand reports the demand for models without a replica again, after a change of owner.
func (s *Service) repeatUrgentDemand() {
	s.mu.Lock()
	for _, d := range s.demandByModel {
		d.isUnreported = true
	}
	s.mu.Unlock()
	s.reportUrgentDemand()
}

// reportSummary reports the demand for all models if the summary interval has passed.
func (s *Service) reportSummary(now time.Time) {
	n := s.countLiveVMs()
	if now.Sub(s.summarySentAt) < summaryInterval(n) {
		return
	}
	s.summarySentAt = now
	s.mu.Lock()
	rows := make(map[string][]demandRow)
	for model, d := range s.demandByModel {
		if d.waitingRequests == 0 && d.runningRequests == 0 && now.Sub(d.changedAt) > demandIdleTimeout {
			delete(s.demandByModel, model)
			continue
		}
		if shardName := s.shardOf(model); shardName != "" {
			rows[shardName] = append(rows[shardName], d.takeRow(model))
		}
	}
	s.mu.Unlock()
	if n > maxUnfilteredVMs {
		s.dropUnusedEntries()
	}
	s.sendDemand(rows)
}

// takeRow returns the demand as a row and resets the count of arrivals.
func (d *localDemand) takeRow(model string) demandRow {
	r := demandRow{Model: model, WaitingRequests: d.waitingRequests, RunningRequests: d.runningRequests, Arrivals: d.arrivals}
	d.arrivals, d.isUnreported = 0, false
	return r
}

// shardOf returns the name of the shard that places the model, or of the shard of the plain service with that name. It
// is empty for an unknown name.
func (s *Service) shardOf(model string) string {
	if s.config == nil {
		return ""
	}
	if m, ok := s.config.Model(model); ok {
		return afplacement.ShardName(m.Service, afplacement.ShardIndex(m.BaseName(), max(s.shardCounts[m.Service], 1)))
	}
	if v, ok := s.config.Service(model); ok && v.Kind == arbutusfork.ServicePlain {
		return afplacement.ShardName(model, 0)
	}
	return ""
}

// sendDemand sends the rows to the owners of their shards.
func (s *Service) sendDemand(rows map[string][]demandRow) {
	for name, list := range rows {
		sh := s.shards[name]
		if sh == nil {
			continue
		}
		m := demandMessage{Rows: list}
		if s.isLargeFleet() {
			m.Shard, m.PartVersion, m.LacksModel = name, s.RoutingTable().CurrentVersion(name), s.lacksWantedModel(list)
		}
		owner := s.demandRecipient(sh)
		if owner == "" || owner == s.Self.VM {
			s.applyDemand(s.Self.VM, m)
			continue
		}
		if err := s.SendToVM(owner, KindDemand, m); err != nil {
			s.Log.Debug("demand not sent", "vm", owner, "shard", name, "error", err)
		}
	}
}

// demandRecipient returns the VM to which demand is reported: the owner or, if the owner is not live in a large fleet,
// the most preferred owner. That VM reads the record often and answers with the current owner.
func (s *Service) demandRecipient(sh *shard) string {
	owner := s.currentOwner(sh)
	if owner == s.Self.VM || !s.isLargeFleet() {
		return owner
	}
	members := s.LiveVMs()
	if slices.ContainsFunc(members, func(vm arbutusfork.VM) bool { return vm.Name == owner }) {
		return owner
	}
	return afplacement.PreferredOwner(sh.name, members)
}

// currentOwner returns the VM that owns the shard according to the latest information of this VM.
func (s *Service) currentOwner(sh *shard) string {
	if sh.view.HasLease(s.Timer.Now()) {
		return s.Self.VM
	}
	_, owner := s.latestOwner(sh)
	return owner.VM
}

// applyDemand applies demand that a VM reported to the shards.
func (s *Service) applyDemand(vm string, m demandMessage) {
	now := s.Timer.Now()
	sentVersion := s.lastSentVersion(m.Shard, vm)
	reports := make(map[*shard]afplacement.ReportBatch)
	for _, row := range m.Rows {
		sh := s.shards[s.shardOf(row.Model)]
		if sh == nil {
			continue
		}
		sh.subscribers.recordDemand(vm, row.Model, now)
		r := reports[sh]
		if row.Arrivals > 0 {
			r.Arrivals = append(r.Arrivals, afplacement.RequestsArrived{Model: row.Model, Count: row.Arrivals})
		}
		r.Demand = append(r.Demand, afplacement.DemandReported{Model: row.Model, VM: vm, WaitingRequests: row.WaitingRequests, RunningRequests: row.RunningRequests})
		reports[sh] = r
	}
	for sh, r := range reports {
		s.applyEvent(sh, r)
	}
	s.repairTable(vm, m, sentVersion, now)
}
