package afpeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

// Guards against heartbeats of the placement holder, which has a link to each other VM, that grow with the fleet.
func TestHeartbeatIntervalGrowsWithFleet(t *testing.T) {
	for vms, want := range map[int]time.Duration{2: heartbeatInterval, 24: heartbeatInterval, 48: 2 * heartbeatInterval, 295: 3 * heartbeatInterval} {
		list := make([]arbutusfork.VM, vms)
		for i := range list {
			list[i].Name = fmt.Sprint("vm", i)
		}
		s := &Service{view: afmember.NewView(list[0]).WithList(list)}
		require.Equal(t, want, s.calmHeartbeatInterval(), "%d VMs", vms)
	}
}
