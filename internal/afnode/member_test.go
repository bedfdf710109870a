package afnode

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// Guards against VMs that take larger parts of the retry budget because the platform came back without the entries of the others.
func TestVMsWithLostEntriesAreCounted(t *testing.T) {
	n, _ := newOddNode(t)
	f := n.newVMFeed()
	list := func(gap affeed.Gap, vms ...string) {
		var objects []afobject.Object
		for i, vm := range vms {
			objects = append(objects, object(vm, int64(i)+1, `{"address":"127.0.0.1:7","start":`+strconv.FormatInt(n.self.StartID, 10)+`}`))
		}
		f.OnList(objects, gap)
	}
	start := n.timer.Now()
	removeUnreachable := func(after time.Duration) { n.removeUnreachableVMs(t.Context(), start.Add(after)) }
	list(affeed.Gap{}, "a", "b", "c", "d")
	list(affeed.Gap{}, "a", "b", "c")
	require.Equal(t, 3, n.countListedVMs(), "an entry was removed while the platform was reached")

	list(affeed.Gap{WentBack: true})
	require.Equal(t, 3, n.countListedVMs())
	require.False(t, n.isOwnEntryListed())
	require.Len(t, n.vmList.writeRequests, 1, "this VM writes its entry again")
	list(affeed.Gap{}, "a")
	require.Equal(t, 3, n.countListedVMs(), "a later list lacks the entries too")
	removeUnreachable(0)
	list(affeed.Gap{Outage: time.Second}, "a", "b")
	removeUnreachable(unreachableTimeout)
	require.Equal(t, 3, n.countListedVMs())
	removeUnreachable(unreachableTimeout + time.Second)
	require.Equal(t, 2, n.countListedVMs(), "a VM that is unreachable is forgotten")

	list(affeed.Gap{}, "a")
	require.Equal(t, 1, n.countListedVMs(), "an entry that was written again was removed")
}
