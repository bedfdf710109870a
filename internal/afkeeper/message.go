package afkeeper

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
)

// The kinds of messages between a VM and the holder.
const (
	// KindVMReport carries a VM's load, demand and usage to the holder.
	KindVMReport = "use"
	// KindPlacementView carries the state of the engines from the holder to a VM.
	KindPlacementView = "view"
	// KindLimitGrants carries the receiver's share of each customer's limit.
	KindLimitGrants = "grant"
)

// vmReport is what a VM reports to the holder.
type vmReport struct {
	// Loads is the load that this VM causes, by endpoint.
	Loads map[string]endpointLoad `msgpack:"loads,omitempty"`
	// RunningRequests counts the VM's requests in progress by endpoint, then by model or afassign.AdapterKey.
	RunningRequests map[string]map[string]int `msgpack:"running,omitempty"`
	Demand          []modelDemand             `msgpack:"demand,omitempty"`
	// FeedPositions holds the versions of the VM's copies of the platform's objects, by kind.
	FeedPositions map[string]affeed.Position `msgpack:"marks,omitempty"`
	// CustomerUsage is keyed by customer.
	CustomerUsage map[string]customerUsageMessage `msgpack:"usage,omitempty"`
	// EvacuationVersion is the version of the VM's state of the evacuations. Evacuations is the encoded state, if it is newer than that of
	// the last view.
	EvacuationVersion int64  `msgpack:"evac-version,omitempty"`
	Evacuations       []byte `msgpack:"evac,omitempty"`
	// YieldsLease means that the VM lets others take the lease first.
	YieldsLease bool `msgpack:"small,omitempty"`
}

// endpointLoad is the encoded form of afroster.Load.
type endpointLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Requests             int
	PromptTokens, Tokens int64
}

// modelDemand is the encoded form of afassign.Demand.
type modelDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Model, Adapter                  string
	WaitingRequests, OnTimeRequests int
	// LongestWaitMs is in milliseconds.
	LongestWaitMs                int64
	RequestRate, PromptTokenRate float64
}

// placementView is what the holder sends to every VM.
type placementView struct {
	Holder string `msgpack:"holder"`
	Epoch  int64  `msgpack:"epoch"`
	// Deputy is the VM that grants units of the customers' limits while the holder is silent.
	Deputy string `msgpack:"deputy,omitempty"`
	// RenewalCount is the renewal count in the record of the lease.
	RenewalCount int64 `msgpack:"beat"`
	// LeaseVersion is the version of the record of the lease.
	LeaseVersion int64 `msgpack:"version"`
	// ViewSeq numbers the holder's views, for promises.
	ViewSeq int64 `msgpack:"seq,omitempty"`
	// HasLostPlatform means that the holder can't renew the lease, so that VMs must read the platform themselves.
	HasLostPlatform bool `msgpack:"lost,omitempty"`
	// FeedPositions holds the versions of the holder's copies of the platform's objects, by kind.
	FeedPositions map[string]affeed.Position `msgpack:"marks,omitempty"`
	// EngineStatuses holds the engines that changed since the last view, or all engines.
	EngineStatuses map[string]engineStatus `msgpack:"engines,omitempty"`
	// Loads is the load of all VMs together, by endpoint.
	Loads map[string]endpointLoad `msgpack:"loads,omitempty"`
	// EndpointSeq is the sequence number of the holder's last endpointUpdate.
	EndpointSeq int64 `msgpack:"relay,omitempty"`
	// WithoutGrants means that VMs get no grants ahead of requests, so that they ask the holder for each request.
	WithoutGrants bool `msgpack:"asks,omitempty"`
	// Evacuations is the holder's encoded state of the evacuations.
	Evacuations []byte `msgpack:"evac,omitempty"`
	// LoadDelaysMs holds the time in milliseconds until a model that no engine holds is loaded, or the minimum of that time if
	// the load has not started.
	LoadDelaysMs map[string]int64 `msgpack:"soon,omitempty"`
}

// engineStatus is the encoded form of afroster.Status.
type engineStatus struct {
	// Born is the start time of the engine in Unix milliseconds.
	Born          int64                  `msgpack:"b"`
	Models        []afengine.LoadedModel `msgpack:"m,omitempty"`
	ClosingModels []string               `msgpack:"c,omitempty"`
}

// limitGrantMessage is the encoded form of LimitGrant.
type limitGrantMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	// AvailableUnits is what the VM could spend when its count of spent units was ReportedSpentUnits.
	AvailableUnits, ReportedSpentUnits int64
	// RateFractionMillionths is the fraction of the customer's rate at which the available units grow, in millionths.
	RateFractionMillionths int64
}

// customerUsageMessage is the encoded form of CustomerUsage.
type customerUsageMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	SpentUnits, RequestedUnitRate int64
}

// millionthsPerUnit converts RateFractionMillionths.
const millionthsPerUnit = 1_000_000

// maxMessageTime bounds the durations in messages, so that they do not overflow. It is far above all that VMs tell each other.
const maxMessageTime = 365 * 24 * time.Hour

// isMessageTime reports whether a number of milliseconds in a message is within maxMessageTime.
func isMessageTime(ms int64) bool {
	return ms >= -maxMessageTime.Milliseconds() && ms <= maxMessageTime.Milliseconds()
}

// errOutOfRange means that a message has the documented form but a value that no VM sends.
var errOutOfRange = errors.New("a value is missing or out of range")

// isSound reports whether another VM can have sent the report. One number that is none would spoil the sums over all VMs.
func (r vmReport) isSound() bool {
	for _, d := range r.Demand {
		isRate := d.RequestRate >= 0 && d.PromptTokenRate >= 0 && !math.IsInf(d.RequestRate, 0) && !math.IsInf(d.PromptTokenRate, 0)
		if !isRate || d.WaitingRequests < 0 || d.OnTimeRequests < 0 || !isMessageTime(d.LongestWaitMs) {
			return false
		}
	}
	return true
}

// isSound reports whether a holder can have sent the view. The bounds are those of the record of the lease.
func (v placementView) isSound() bool {
	return v.Holder != "" && v.Epoch >= 0 && v.Epoch <= maxLeaseCount && v.RenewalCount >= 0 && v.RenewalCount <= maxLeaseCount && v.LeaseVersion >= 0
}

func encodeLoad(l afroster.Load) endpointLoad {
	return endpointLoad{Requests: l.Requests, PromptTokens: l.UnreadPromptTokens, Tokens: l.TotalTokens}
}

func (l endpointLoad) decode() afroster.Load {
	return afroster.Load{Requests: l.Requests, UnreadPromptTokens: l.PromptTokens, TotalTokens: l.Tokens}
}

func encodeDemand(demands []afassign.Demand) []modelDemand {
	out := make([]modelDemand, 0, len(demands))
	for _, d := range demands {
		out = append(out, modelDemand{
			Model: d.Model, Adapter: d.Adapter, WaitingRequests: d.WaitingRequests, OnTimeRequests: d.OnTimeRequests, LongestWaitMs: d.LongestWait.Milliseconds(), RequestRate: d.RequestRate, PromptTokenRate: d.PromptTokenRate,
		})
	}
	return out
}

func (d modelDemand) decode() afassign.Demand {
	return afassign.Demand{
		Model: d.Model, Adapter: d.Adapter, WaitingRequests: d.WaitingRequests, OnTimeRequests: d.OnTimeRequests, LongestWait: time.Duration(d.LongestWaitMs) * time.Millisecond,
		RequestRate: d.RequestRate, PromptTokenRate: d.PromptTokenRate,
	}
}

// HandleVMReport stores the report of another VM, which is used while this VM is the holder.
func (s *Service) HandleVMReport(from arbutusfork.Incarnation, body []byte) (any, error) {
	var report vmReport
	if err := msgpack.Unmarshal(body, &report); err != nil {
		return nil, &Error{Op: "beat", Kind: MalformedMessage, Err: err}
	}
	if !report.isSound() {
		return nil, &Error{Op: "beat", Kind: MalformedMessage, Err: errOutOfRange}
	}
	s.mu.Lock()
	s.vmReports[from.VM] = receivedVMReport{receivedAt: s.Timer.Now(), from: from, report: report}
	s.mu.Unlock()
	s.CompareFeedPositions(report.FeedPositions)
	s.applyEvacuations(s.Evacuations.ApplyReport, from, report.Evacuations)
	s.signalWakeup()
	return nil, nil
}

// HandlePlacementView applies a view from the holder.
func (s *Service) HandlePlacementView(from arbutusfork.Incarnation, body []byte) (any, error) {
	var v placementView
	if err := msgpack.Unmarshal(body, &v); err != nil {
		return nil, &Error{Op: "view", Kind: MalformedMessage, Err: err}
	}
	if !v.isSound() {
		return nil, &Error{Op: "view", Kind: MalformedMessage, Err: errOutOfRange}
	}
	s.mu.Lock()
	if v.LeaseVersion < s.lease.Version() {
		s.mu.Unlock()
		return nil, nil // The sender is a former holder that has not noticed the change.
	}
	s.lease = s.lease.WithReadRecord(aflease.Record{Holder: v.Holder, Epoch: v.Epoch, RenewalCount: v.RenewalCount}, v.LeaseVersion, s.BootTime())
	if s.holder != from.VM {
		s.Log.Info("placement holder known", "holder", v.Holder, "epoch", v.Epoch)
	}
	s.holder = from.VM
	s.viewReceivedAt = s.Timer.Now()
	s.mu.Unlock()
	s.applyEvacuations(s.Evacuations.ApplyView, from, v.Evacuations)
	s.answerView(from.VM, v.Epoch, v.ViewSeq, v.HasLostPlatform)
	s.CompareFeedPositions(v.FeedPositions)
	s.resetDeputy(v.Deputy)
	s.syncEndpoints(from.VM, v.Epoch, v.EndpointSeq)
	s.applyView(v)
	if v.WithoutGrants {
		s.ApplyGrants(nil)
	}
	return nil, nil
}

func decodeGrants(messages map[string]limitGrantMessage) map[string]LimitGrant {
	out := make(map[string]LimitGrant, len(messages))
	for name, g := range messages {
		out[name] = LimitGrant{AvailableUnits: g.AvailableUnits, ReportedSpentUnits: g.ReportedSpentUnits, RateFraction: float64(min(max(g.RateFractionMillionths, 0), millionthsPerUnit)) / millionthsPerUnit}
	}
	return out
}

// HandleLimitGrants applies the holder's grants to this VM.
func (s *Service) HandleLimitGrants(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var grants map[string]limitGrantMessage
	if err := msgpack.Unmarshal(body, &grants); err != nil {
		return nil, &Error{Op: "grant", Kind: MalformedMessage, Err: err}
	}
	s.ApplyGrants(decodeGrants(grants))
	return nil, nil
}
