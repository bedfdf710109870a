package afslope

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	tableEndpoints = 32
	// spread is the fraction of the models that each VM has demand for: one in spread.
	spread = 8
	// demandChange is the period at which each VM's demand for one model changes. VMs that share models change in
	// opposite directions, so that credits change as well.
	demandChange = time.Second
)

// speaker is one VM whose messages are counted and delivered in this process.
type speaker struct {
	control  *afcontrol.Service
	bytes    atomic.Int64
	messages atomic.Int64
	received atomic.Int64
}

func (v *speaker) handler(kind string) func(arbutusfork.Incarnation, []byte) (any, error) {
	switch kind {
	case afcontrol.KindDemand:
		return v.control.HandleDemand
	case afcontrol.KindOwner:
		return v.control.HandleOwner
	}
	return v.control.HandleTablePart
}

// startSpeakers starts n VMs that share one shard. Each VM runs requests on one model in spread.
func startSpeakers(ctx context.Context, sh *shard, n int, timer *aftimer.Service) []*speaker {
	members := make([]arbutusfork.VM, n)
	all := make(map[string]*speaker, n)
	vms := make([]*speaker, n)
	for i := range vms {
		members[i].Name = fmt.Sprintf("vm-%d", i)
		vms[i] = new(speaker)
		all[members[i].Name] = vms[i]
	}
	client := &afobject.Client{BaseURL: "http://" + sh.address}
	for i, v := range vms {
		v.control = sh.service(members[i].Name, timer, client, members)
		v.control.SendMessage = func(to, kind string, message any) error {
			b, err := msgpack.Marshal(message)
			if err != nil {
				return err
			}
			v.messages.Add(1)
			v.bytes.Add(int64(len(b)))
			all[to].received.Add(1)
			_, err = all[to].handler(kind)(v.control.Self, b)
			return err
		}
	}
	for i, v := range vms {
		go v.control.Run(ctx)
		for k := i % spread; k < sh.endpoints*sh.models; k += spread {
			v.control.SetRunningRequests(modelName(k), 1)
		}
		turn := 0
		timer.CallEvery(demandChange, func(time.Time) {
			turn++
			k := i%spread + turn*spread%(sh.endpoints*sh.models)
			v.control.SetRunningRequests(modelName(k), 1+(turn+i/spread)%2)
			v.control.RecordArrival(modelName(k))
		})
	}
	return vms
}

func measureTables(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintf(w, "tables: the owner of %d endpoints with %d models each, and a VM with demand for one model in %d\n",
		tableEndpoints, modelsEach, spread)
	_, _ = fmt.Fprintf(w, "%8s %14s %16s %16s %12s %14s %14s\n",
		"VMs", "owner KB/s", "owner sent/s", "owner recv/s", "VM KB/s", "VM sent/s", "all core %")
	for _, n := range cfg.TableVMCounts {
		if err := measureTable(ctx, w, n, cfg); err != nil {
			return err
		}
	}
	return nil
}

func measureTable(ctx context.Context, w io.Writer, n int, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh, err := startShard(ctx, tableEndpoints, modelsEach)
	if err != nil {
		return err
	}
	timer := &aftimer.Service{}
	vms := startSpeakers(ctx, sh, n, timer)
	go timer.Run(ctx)
	if err := rest(ctx, cfg.WarmUpDuration); err != nil {
		return err
	}
	before := make([][3]int64, n)
	for i, v := range vms {
		before[i] = [3]int64{v.bytes.Load(), v.messages.Load(), v.received.Load()}
	}
	processor, start := processorTime(), time.Now()
	if err := rest(ctx, cfg.MeasuringDuration); err != nil {
		return err
	}
	span, used := time.Since(start).Seconds(), processorTime()-processor
	var owner, plain [3]float64
	for i, v := range vms {
		spent := [3]float64{
			float64(v.bytes.Load()-before[i][0]) / span, float64(v.messages.Load()-before[i][1]) / span,
			float64(v.received.Load()-before[i][2]) / span,
		}
		if p, _ := v.control.RoutingTable().Part(afplacement.ShardName(endpointService, 0)); p.Owner.VM == v.control.Self.VM {
			owner = spent
			continue
		}
		for k := range plain {
			plain[k] += spent[k] / float64(n-1)
		}
	}
	_, _ = fmt.Fprintf(w, "%8d %14.1f %16.1f %16.1f %12.2f %14.2f %14.1f\n",
		n, owner[0]/1000, owner[1], owner[2], plain[0]/1000, plain[1], used.Seconds()/span*100)
	return nil
}
