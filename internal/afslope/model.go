package afslope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// measuredChanges is the number of configuration changes whose time is measured.
const measuredChanges = 20

// modelObject returns the platform's object of an adapter.
func modelObject(i int, version int64) (afobject.Object, error) {
	name := fmt.Sprintf("model-%d:adapter-%d", i%180, i)
	spec, err := json.Marshal(arbutusfork.Model{
		Name: name, Service: "service", MemoryMB: 200, StoreLoadMillis: 10, DiskLoadMillis: 5, MemoryLoadMillis: 2,
	})
	return afobject.Object{Kind: afobject.KindModels, Name: name, Version: version, Spec: spec}, err
}

// measureModels measures the memory of a configuration snapshot and the duration of one change for each number of models.
func measureModels(_ context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "models: the configuration snapshot of one node")
	_, _ = fmt.Fprintf(w, "%8s %14s %14s %16s\n", "models", "memory MB", "bytes each", "one change ms")
	for _, n := range cfg.ModelCounts {
		objects := make([]afobject.Object, n)
		for i := range objects {
			o, err := modelObject(i, int64(i+1))
			if err != nil {
				return &Error{Op: "encode", Kind: OperationFailed, Err: err}
			}
			objects[i] = o
		}
		heapBefore := liveHeapBytes()
		snapshot, err := new(afconfig.Snapshot).WithObjects(int64(n), objects...)
		if err != nil {
			return &Error{Op: "snapshot", Kind: OperationFailed, Err: err}
		}
		heapGrowth := liveHeapBytes() - heapBefore
		changedObject := objects[0]
		meanChangeDuration := meanCallDuration(measuredChanges, func() {
			changedObject.Version = snapshot.Version + 1
			if next, err := snapshot.WithObjects(changedObject.Version, changedObject); err == nil {
				snapshot = next
			}
		})
		_, _ = fmt.Fprintf(w, "%8d %14.2f %14.0f %16.3f\n",
			n, float64(heapGrowth)/1e6, float64(heapGrowth)/float64(n), float64(meanChangeDuration.Microseconds())/1000)
		runtime.KeepAlive(objects)
		runtime.KeepAlive(snapshot)
	}
	return nil
}
