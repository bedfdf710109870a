package afnode

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork/internal/afcentre"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afkeeper"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// firstViewTime is how long after its start a VM waits for a view with the state of the evacuations before it reads the store, since
	// calls are billed. The first views of a fleet that starts together arrive after 2 to 3 s. It is below the 4 s after which evacuations
	// must be in force on a VM.
	firstViewTime = 3600 * time.Millisecond
	// viewGapTime is how long a VM may be without views of a holder that reaches the store, beyond the 2 s after which it takes the holder for
	// silent, before it reads the store itself. The next holder sends views in this time, and the evacuations must be in force after 5 s.
	viewGapTime = 1300 * time.Millisecond
)

// createCentres creates the service that keeps the evacuations, if the deployment has them, and connects it to the roster and the
// placement service.
func (n *Node) createCentres() {
	if n.Settings.EvacuationTime <= 0 || n.Platform.EvacuationKind == "" {
		return
	}
	n.centres = &afcentre.Service{
		Timer: n.timer, Log: n.log, Metrics: afcentre.NewMetrics(n.registry), OnReturn: n.roster.RecordCentreReturned,
		OnChange: func() {
			n.requestRecheck()
			n.keeper.RequestView()
		},
	}
	n.centres.RegisterGauges(n.registry)
	n.roster.IsEvacuated = n.centres.IsEvacuated
	n.keeper.Evacuations = afkeeper.Evacuations{
		EncodeState: n.centres.EncodeState, ReportState: n.centres.ReportState, ApplyView: n.centres.ApplyView, ApplyReport: n.centres.ApplyReport,
	}
	n.tables.OnChange = func() {
		n.centres.RecordConfiguration()
		n.requestRecheck()
	}
	gauge := func(name, help string, fn func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, fn))
	}
	gauge("arbutusfork_evacuated_endpoints", "Listed endpoints that get no request because their data centre is evacuated.", func() float64 {
		sum := 0
		for _, c := range n.roster.CentreStatuses() {
			sum += c.Withheld
		}
		return float64(sum)
	})
	gauge("arbutusfork_evacuation_vms_behind", "On the placement holder, other VMs that do not know its state of the evacuations yet.", func() float64 {
		if !n.keeper.HoldsLease() {
			return 0
		}
		return float64(n.keeper.CountVMsBehind(n.centres.State().Version()))
	})
}

// knowsEvacuations reports whether this VM knows the evacuations or did not learn them in time, or the deployment has none.
func (n *Node) knowsEvacuations() bool { return n.centres == nil || n.centres.IsReady() }

// newEvacuationFeed creates the feed of the evacuations. The placement holder watches them; the other VMs call the store only while no
// views with the state arrive.
func (n *Node) newEvacuationFeed() *affeed.Feed {
	f := n.newFeed(n.Platform.EvacuationKind)
	f.PollTimeout = func() time.Duration {
		if n.keeper.HoldsLease() {
			return pollTimeoutWithHolder // The views show that the holder reaches the store.
		}
		return pollTimeoutWithoutHolder
	}
	startedAt := n.timer.Now()
	var toldAt time.Time // toldAt is when this VM was last told the state by views.
	f.IsSuspended = func() bool {
		if n.keeper.HoldsLease() {
			return false
		}
		now := n.timer.Now()
		if n.keeper.ReceivesPlacementViews() && n.centres.HasViewState() {
			toldAt = now
		}
		return now.Sub(toldAt) < viewGapTime || !n.centres.State().IsKnown() && now.Sub(startedAt) < firstViewTime
	}
	revisions := make(map[string]int64)
	f.OnList = func(objects []afobject.Object, _ affeed.Gap) {
		clear(revisions)
		for _, o := range objects {
			revisions[o.Name] = o.Version // Any content evacuates the data centre.
		}
	}
	f.OnChange = func(e afobject.Event) {
		if e.Type == afobject.Deleted {
			delete(revisions, e.Object.Name)
			return
		}
		revisions[e.Object.Name] = e.Object.Version
	}
	f.OnCopy = func(version int64) { n.centres.ApplyCopy(version, revisions) }
	return f
}

// centreStatus is the status of one data centre as operators see it.
type centreStatus struct {
	Centre    string `json:"centre"`
	Evacuated bool   `json:"evacuated"`
	// Revision is the version of the object that evacuates the data centre, which a VM first read AgeMs ago.
	Revision int64 `json:"revision,omitempty"`
	AgeMs    int64 `json:"age_ms,omitempty"`
	// LeftMs is the time until an evacuation ends whose object the store lost. It is left out for others.
	LeftMs int64 `json:"left_ms,omitempty"`
	// Endpoints is the number of listed endpoints.
	Endpoints int `json:"endpoints"`
	// Running is the number of requests of this VM in progress there, and RunningElsewhere that of the other VMs in the latest view.
	Running          int `json:"running"`
	RunningElsewhere int `json:"running_elsewhere"`
	// Cold is the number of listed endpoints that are cold. It is left out if none is.
	Cold int `json:"cold,omitempty"`
}

// serveCentres answers with the status of each data centre that has a listed endpoint or is evacuated, sorted by name.
func (n *Node) serveCentres(w http.ResponseWriter, _ *http.Request) {
	now, statuses, evacuations := n.timer.Now(), n.roster.CentreStatuses(), n.centres.Evacuations()
	for centre := range evacuations {
		if _, hasEndpoint := statuses[centre]; !hasEndpoint {
			statuses[centre] = afroster.CentreStatus{}
		}
	}
	out := make([]centreStatus, 0, len(statuses))
	for centre, c := range statuses {
		status := centreStatus{Centre: centre, Endpoints: c.Endpoints, Running: c.OwnRequests, RunningElsewhere: c.OtherVMsRequests, Cold: c.Cold}
		if e, isEvacuated := evacuations[centre]; isEvacuated {
			status.Evacuated, status.Revision, status.AgeMs = true, e.Revision, now.Sub(e.KnownAt).Milliseconds()
			if e.IsLost() {
				status.LeftMs = e.EndsAt.Sub(now).Milliseconds()
			}
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b centreStatus) int { return cmp.Compare(a.Centre, b.Centre) })
	writeStatus(w, http.StatusOK, out)
}
