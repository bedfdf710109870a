package afnode

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// newOddNode returns a node whose parts do not run, and its log. The spec odd can be decoded as nothing.
func newOddNode(t *testing.T) (*Node, *bytes.Buffer) {
	t.Helper()
	errOdd := errors.New("odd")
	n := &Node{Settings: Settings{VM: "a", PeerAddress: "127.0.0.1:1"}, Platform: Platform{
		EndpointKind: "servers",
		DecodeEndpointEntry: func(id string, spec []byte) (afengine.EndpointEntry, error) {
			if string(spec) == "odd" {
				return afengine.EndpointEntry{}, errOdd
			}
			return afengine.EndpointEntry{ID: id, Service: "app", Address: string(spec)}, nil
		},
	}}
	n.createParts()
	t.Cleanup(n.logWriter.Close)
	var logOutput bytes.Buffer
	n.log = slog.New(slog.NewTextHandler(&logOutput, nil))
	return n, &logOutput
}

func object(name string, version int64, spec string) afobject.Object {
	return afobject.Object{Name: name, Version: version, Spec: []byte(spec)}
}

// Guards against an endpoint that stays in use after its entry became odd, also after an outage, against one that is not
// used once its entry is sound, and against a log line for each list.
func TestOddEndpointEntryIsNotUsed(t *testing.T) {
	n, logOutput := newOddNode(t)
	f := n.newEndpointFeed()
	usable := func() (ids []string) {
		for _, e := range n.roster.UsableEndpoints("app") {
			ids = append(ids, e.ID)
		}
		return ids
	}
	change := func(o afobject.Object) { f.OnChange(afobject.Event{Type: afobject.Modified, Object: o}) }
	f.OnList([]afobject.Object{object("i-1", 1, "x"), object("i-2", 2, "x"), object("i-3", 3, "odd")}, affeed.Gap{})
	require.Equal(t, []string{"i-1", "i-2"}, usable())
	for range 3 {
		f.OnList([]afobject.Object{object("i-1", 1, "x"), object("i-2", 4, "odd"), object("i-3", 3, "odd")}, affeed.Gap{Outage: time.Second})
		require.Equal(t, []string{"i-1"}, usable())
	}
	require.Equal(t, 2, strings.Count(logOutput.String(), "endpoint entry ignored"))
	change(object("i-1", 5, "odd"))
	require.Empty(t, usable(), "odd soon after an outage")
	change(object("i-1", 6, "x"))
	change(object("i-3", 7, "x"))
	require.Equal(t, []string{"i-1", "i-3"}, usable())
	change(object("i-3", 8, "odd"))
	require.Equal(t, []string{"i-1"}, usable())
	require.Equal(t, 4, strings.Count(logOutput.String(), "endpoint entry ignored"))
}

// Guards against an entry without a start that another writer put in place of one with a start and that is used.
func TestEntryWithoutStartReplacesNoneWithStart(t *testing.T) {
	n, logOutput := newOddNode(t)
	n.Platform.DecodeEndpointEntry = func(id string, spec []byte) (afengine.EndpointEntry, error) {
		start, err := strconv.ParseInt(string(spec), 10, 64)
		return afengine.EndpointEntry{ID: id, Service: "app", StartUnixMs: start}, err
	}
	f := n.newEndpointFeed()
	count := func() int { return len(n.roster.UsableEndpoints("app")) }
	f.OnList([]afobject.Object{object("i-1", 1, "5"), object("i-2", 2, "0")}, affeed.Gap{})
	require.Equal(t, 2, count())
	n.roster.RecordStoreWentBack() // No departures are recorded for a while.
	for range 3 {
		f.OnList([]afobject.Object{object("i-1", 3, "0"), object("i-2", 2, "0")}, affeed.Gap{})
		require.Equal(t, 1, count(), "the entry without a start is used")
	}
	require.Equal(t, 1, strings.Count(logOutput.String(), "endpoint entry ignored"))
	f.OnChange(afobject.Event{Type: afobject.Modified, Object: object("i-1", 4, "5")})
	require.Equal(t, 2, count())
}

// Guards against a VM entry that names no VM and takes a part of the limits, and against a VM that is forgotten, or never
// removed and never listed again, because its entry became odd.
func TestOddVMEntry(t *testing.T) {
	n, logOutput := newOddNode(t)
	f := n.newVMFeed()
	sound := func(vm string, version int64) afobject.Object {
		return object(vm, version, `{"address":"127.0.0.1:7","start":`+strconv.FormatInt(n.self.StartID, 10)+`}`)
	}
	f.OnList([]afobject.Object{sound("a", 1), sound("b", 2)}, affeed.Gap{})
	require.True(t, n.isOwnEntryListed())
	objects := []afobject.Object{object("a", 8, `{"start":1e400}`), object("b", 9, strings.Repeat("[", 100_000))}
	for i, odd := range []string{`{}`, `null`, `{"address":"127.0.0.1","start":1}`, `{"address":"127.0.0.1:70000","start":1}`, `{"address":"127.0.0.1:1","start":-1}`, `{"address":"0.0.0.0:1","start":1}`} {
		objects = append(objects, object("odd-"+strconv.Itoa(i), 10, odd))
	}
	for range 3 {
		f.OnList(objects, affeed.Gap{})
		require.Equal(t, 2, n.countListedVMs())
	}
	require.Equal(t, len(objects), strings.Count(logOutput.String(), "VM entry ignored"))
	require.EqualValues(t, 9, n.vmList.versions["b"], "the holder removes the entry at its version")
	require.False(t, n.isOwnEntryListed())
	require.Len(t, n.vmList.writeRequests, 1, "this VM writes its entry again")
	f.OnChange(afobject.Event{Type: afobject.Modified, Object: sound("a", 11)})
	require.True(t, n.isOwnEntryListed())
	f.OnList([]afobject.Object{sound("a", 11)}, affeed.Gap{})
	require.Equal(t, 1, n.countListedVMs())
}

// Guards against memory that grows with each odd object that was ever listed.
func TestOddObjectsThatAreGoneAreForgotten(t *testing.T) {
	n, _ := newOddNode(t)
	odd := n.newOddObjects("servers")
	for _, o := range []afobject.Object{{Name: "a", Version: 1}, {Name: "b", Version: 2}} {
		_, isNew := odd.add(o, errors.New("odd"))
		require.True(t, isNew)
	}
	odd.keep([]afobject.Object{{Name: "b", Version: 2}})
	require.Equal(t, map[string]oddObject{"b": {2, "odd"}}, odd.byName)
}

// ignoredCount returns the number of versions of objects that a node left out, of all kinds.
func ignoredCount(t *testing.T, n *Node) (sum float64) {
	t.Helper()
	families, err := n.registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		if f.GetName() == "arbutusfork_platform_ignored_total" {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// Guards against a log line for each poll or each write of the same odd entry, and against one of any length.
func TestSameFaultIsLoggedOnceAndEachVersionCounted(t *testing.T) {
	n, logOutput := newOddNode(t)
	fault := "odd"
	n.Platform.DecodeEndpointEntry = func(string, []byte) (afengine.EndpointEntry, error) {
		return afengine.EndpointEntry{}, errors.New(fault)
	}
	f := n.newEndpointFeed()
	for version := range int64(5) {
		for range 3 {
			f.OnList([]afobject.Object{object("i-1", version, "odd")}, affeed.Gap{})
		}
	}
	require.Equal(t, 1, strings.Count(logOutput.String(), "endpoint entry ignored"))
	require.EqualValues(t, 5, ignoredCount(t, n))
	fault = strings.Repeat("x", 1<<20)
	f.OnList([]afobject.Object{object("i-1", 9, "odd")}, affeed.Gap{})
	require.Equal(t, 2, strings.Count(logOutput.String(), "endpoint entry ignored"))
	require.Less(t, logOutput.Len(), 4*maxFaultBytes)
}
