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
	tableEndpointCount = 32
	// demandModelStride is the distance between the models for which a VM has demand: one model in demandModelStride.
	demandModelStride = 8
	// demandChangeInterval is the interval at which each VM changes its demand for one model. VMs that share models change
	// their demand in opposite directions, so that the VMs' credits change as well.
	demandChangeInterval = time.Second
)

// meteredVM is one VM whose control messages are counted and delivered within this process.
type meteredVM struct {
	control          *afcontrol.Service
	sentBytes        atomic.Int64
	sentMessages     atomic.Int64
	receivedMessages atomic.Int64
}

// selectHandler returns the handler of the VM for messages of the kind.
func (v *meteredVM) selectHandler(kind string) func(arbutusfork.Incarnation, []byte) (any, error) {
	switch kind {
	case afcontrol.KindDemand:
		return v.control.HandleDemand
	case afcontrol.KindOwner:
		return v.control.HandleOwner
	}
	return v.control.HandleTablePart
}

// startMeteredVMs starts n VMs that share one shard. Each VM has running requests for one model in demandModelStride.
func startMeteredVMs(ctx context.Context, sh *shard, n int, timer *aftimer.Service) []*meteredVM {
	members := make([]arbutusfork.VM, n)
	vmByName := make(map[string]*meteredVM, n)
	vms := make([]*meteredVM, n)
	for i := range vms {
		members[i].Name = fmt.Sprintf("vm-%d", i)
		vms[i] = new(meteredVM)
		vmByName[members[i].Name] = vms[i]
	}
	client := &afobject.Client{BaseURL: "http://" + sh.platformAddress}
	for i, v := range vms {
		v.control = sh.newControlService(members[i].Name, timer, client, members)
		v.control.SendToVM = func(to, kind string, message any) error {
			b, err := msgpack.Marshal(message)
			if err != nil {
				return err
			}
			v.sentMessages.Add(1)
			v.sentBytes.Add(int64(len(b)))
			vmByName[to].receivedMessages.Add(1)
			_, err = vmByName[to].selectHandler(kind)(v.control.Self, b)
			return err
		}
	}
	for i, v := range vms {
		go v.control.Run(ctx)
		for k := i % demandModelStride; k < sh.endpointCount*sh.modelsPerEndpoint; k += demandModelStride {
			v.control.SetRunningRequests(modelName(k), 1)
		}
		changeCount := 0
		timer.CallEvery(demandChangeInterval, func(time.Time) {
			changeCount++
			k := i%demandModelStride + changeCount*demandModelStride%(sh.endpointCount*sh.modelsPerEndpoint)
			v.control.SetRunningRequests(modelName(k), 1+(changeCount+i/demandModelStride)%2)
			v.control.RecordArrival(modelName(k))
		})
	}
	return vms
}

// measureTables measures the messages of the shard's owner and of the other VMs for each number of VMs.
func measureTables(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintf(w, "tables: the owner of %d endpoints with %d models each, and a VM with demand for one model in %d\n",
		tableEndpointCount, loadedModelsPerEndpoint, demandModelStride)
	_, _ = fmt.Fprintf(w, "%8s %14s %16s %16s %12s %14s %14s\n",
		"VMs", "owner KB/s", "owner sent/s", "owner recv/s", "VM KB/s", "VM sent/s", "all core %")
	for _, n := range cfg.TableVMCounts {
		if err := measureTable(ctx, w, n, cfg); err != nil {
			return err
		}
	}
	return nil
}

// measureTable measures the messages of n VMs that share one shard, and prints a table line.
func measureTable(ctx context.Context, w io.Writer, n int, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh, err := startShard(ctx, tableEndpointCount, loadedModelsPerEndpoint)
	if err != nil {
		return err
	}
	timer := &aftimer.Service{}
	vms := startMeteredVMs(ctx, sh, n, timer)
	go timer.Run(ctx)
	if err := sleepContext(ctx, cfg.WarmUpDuration); err != nil {
		return err
	}
	countersBefore := make([][3]int64, n)
	for i, v := range vms {
		countersBefore[i] = [3]int64{v.sentBytes.Load(), v.sentMessages.Load(), v.receivedMessages.Load()}
	}
	cpuTimeBefore, start := processCPUTime(), time.Now()
	if err := sleepContext(ctx, cfg.MeasuringDuration); err != nil {
		return err
	}
	seconds, cpuTime := time.Since(start).Seconds(), processCPUTime()-cpuTimeBefore
	var owner, otherMean [3]float64
	for i, v := range vms {
		rates := [3]float64{
			float64(v.sentBytes.Load()-countersBefore[i][0]) / seconds, float64(v.sentMessages.Load()-countersBefore[i][1]) / seconds,
			float64(v.receivedMessages.Load()-countersBefore[i][2]) / seconds,
		}
		if p, _ := v.control.RoutingTable().Part(afplacement.ShardName(endpointService, 0)); p.Owner.VM == v.control.Self.VM {
			owner = rates
			continue
		}
		for k := range otherMean {
			otherMean[k] += rates[k] / float64(n-1)
		}
	}
	_, _ = fmt.Fprintf(w, "%8d %14.1f %16.1f %16.1f %12.2f %14.2f %14.1f\n",
		n, owner[0]/1000, owner[1], owner[2], otherMean[0]/1000, otherMean[1], cpuTime.Seconds()/seconds*100)
	return nil
}
