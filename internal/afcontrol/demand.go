package afcontrol

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// summary is the period at which VMs report demand in fleets of up to 100 VMs. New demand without a replica is
	// reported at once.
	summary = time.Second
	// demandIdle is how long a model without requests stays in the summaries.
	demandIdle = 5 * time.Second
)

// localDemand is this VM's demand for one model.
type localDemand struct {
	waiting, running, served int
	changed                  time.Time
	dirty                    bool
}

// demandMessage is the body of a demand message.
type demandMessage struct {
	Rows []demandRow `msgpack:"rows"`
	// Shard is the shard of the rows. In a large fleet, Have is the digest of the publication that the VM has of it,
	// and Lacks means that requests wait for a model of which it knows nothing.
	Shard      string `msgpack:"shard,omitempty"`
	PartDigest int64  `msgpack:"have,omitempty"`
	LacksModel bool   `msgpack:"lacks,omitempty"`
}

// demandRow is sent as an array, since its field names would be most of a summary.
type demandRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Model            string
	Waiting, Running int
	// Served counts the arrivals since the last row of this model.
	Served int
}

// SetWaitingRequests sets the number of this VM's requests that wait for the model. The deadline is the earliest of them.
func (s *Service) SetWaitingRequests(model string, waiting int, _ time.Time) {
	s.note(model, func(d *localDemand) bool {
		urgent := waiting > 0 && d.waiting == 0
		d.dirty = d.dirty || d.waiting != waiting
		d.waiting = waiting
		return urgent
	})
}

// RecordArrival counts an arrival for the model.
func (s *Service) RecordArrival(model string) {
	s.note(model, func(d *localDemand) bool {
		d.served++
		return false
	})
}

// SetRunningRequests sets the number of this VM's requests that run on the model. A model with running requests is not
// unloaded.
func (s *Service) SetRunningRequests(model string, n int) {
	s.note(model, func(d *localDemand) bool {
		d.dirty = d.dirty || d.running != n
		d.running = n
		return false
	})
}

func (s *Service) note(model string, fn func(d *localDemand) bool) {
	s.init()
	now := s.Timer.Now()
	s.mu.Lock()
	d := s.local[model]
	if d == nil {
		d = &localDemand{}
		s.local[model] = d
	}
	d.changed = now
	wake := fn(d) && !s.woken
	if wake {
		s.woken = true
	}
	s.mu.Unlock()
	if wake && !s.ring.Push(s.hurry) {
		s.mu.Lock()
		s.woken = false
		s.mu.Unlock()
	}
}

// hurry reports new demand for models without a replica.
func (s *Service) hurry() {
	table := s.RoutingTable()
	s.mu.Lock()
	s.woken = false
	rows := make(map[string][]demandRow)
	for model, d := range s.local {
		if d.waiting > 0 && d.dirty && len(table.Replicas(model)) == 0 {
			rows[s.home(model)] = append(rows[s.home(model)], d.row(model))
		}
	}
	s.mu.Unlock()
	s.report(rows)
}

// again reports demand for models without a replica that an earlier owner may have been told of.
func (s *Service) again() {
	s.mu.Lock()
	for _, d := range s.local {
		d.dirty = true
	}
	s.mu.Unlock()
	s.hurry()
}

// flush reports the demand summary.
func (s *Service) flush(now time.Time) {
	n := s.live()
	if now.Sub(s.flushed) < period(n) {
		return
	}
	s.flushed = now
	s.mu.Lock()
	rows := make(map[string][]demandRow)
	for model, d := range s.local {
		if d.waiting == 0 && d.running == 0 && now.Sub(d.changed) > demandIdle {
			delete(s.local, model)
			continue
		}
		if home := s.home(model); home != "" {
			rows[home] = append(rows[home], d.row(model))
		}
	}
	s.mu.Unlock()
	if n > wholeFleet {
		s.prune()
	}
	s.report(rows)
}

func (d *localDemand) row(model string) demandRow {
	r := demandRow{Model: model, Waiting: d.waiting, Running: d.running, Served: d.served}
	d.served, d.dirty = 0, false
	return r
}

// home returns the shard that places the model, or serves the plain service of that name.
func (s *Service) home(model string) string {
	if s.config == nil {
		return ""
	}
	if m, ok := s.config.Model(model); ok {
		return afplacement.ShardName(m.Service, afplacement.ShardIndex(m.Base(), max(s.counts[m.Service], 1)))
	}
	if v, ok := s.config.Service(model); ok && v.Kind == arbutusfork.ServicePlain {
		return afplacement.ShardName(model, 0)
	}
	return ""
}

// report gives the rows to the owners of their shards.
func (s *Service) report(rows map[string][]demandRow) {
	for name, list := range rows {
		sh := s.shards[name]
		if sh == nil {
			continue
		}
		m := demandMessage{Rows: list}
		if s.large() {
			m.Shard, m.PartDigest, m.LacksModel = name, s.RoutingTable().CurrentDigest(name), s.lacks(list)
		}
		owner := s.recipient(sh)
		if owner == "" || owner == s.Self.VM {
			s.take(s.Self.VM, m)
			continue
		}
		if err := s.SendMessage(owner, KindDemand, m); err != nil {
			s.Log.Debug("demand not sent", "vm", owner, "shard", name, "error", err)
		}
	}
}

// recipient returns the VM to report demand to: the owner, or, while it is not live in a large fleet, the most
// preferred one, which follows the record closely and names the owner.
func (s *Service) recipient(sh *shard) string {
	owner := s.owner(sh)
	if owner == s.Self.VM || !s.large() {
		return owner
	}
	members := s.Members()
	if slices.ContainsFunc(members, func(vm arbutusfork.VM) bool { return vm.Name == owner }) {
		return owner
	}
	return afplacement.PreferredOwner(sh.name, members)
}

// owner returns the VM that is believed to own the shard.
func (s *Service) owner(sh *shard) string {
	if sh.view.HasLease(s.Timer.Now()) {
		return s.Self.VM
	}
	_, owner := s.latest(sh)
	return owner.VM
}

// take applies demand that a VM reported.
func (s *Service) take(vm string, m demandMessage) {
	now := s.Timer.Now()
	sent := s.sent(m.Shard, vm)
	reports := make(map[*shard]afplacement.ReportBatch)
	for _, row := range m.Rows {
		sh := s.shards[s.home(row.Model)]
		if sh == nil {
			continue
		}
		sh.audience.note(vm, row.Model, now)
		r := reports[sh]
		if row.Served > 0 {
			r.Arrivals = append(r.Arrivals, afplacement.RequestsArrived{Model: row.Model, Count: row.Served})
		}
		r.Demand = append(r.Demand, afplacement.DemandReported{Model: row.Model, VM: vm, WaitingRequests: row.Waiting, RunningRequests: row.Running})
		reports[sh] = r
	}
	for sh, r := range reports {
		s.step(sh, r)
	}
	s.heed(vm, m, sent, now)
}
