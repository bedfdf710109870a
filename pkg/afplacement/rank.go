package afplacement

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork"
)

const (
	// maxSingleShardEndpoints is the largest number of endpoints for which a service has a single shard.
	maxSingleShardEndpoints = 32
	// meanShardEndpoints is the mean number of endpoints per shard of a service with several shards. It is below
	// maxSingleShardEndpoints because hashing distributes endpoints unevenly.
	meanShardEndpoints = 24
)

// OwnerRank returns the VM's rank among the shard's preferred owners by rendezvous hashing; 0 is the most preferred.
func OwnerRank(shard, vm string, vms []arbutusfork.VM) int {
	ownWeight := rendezvousWeight(shard, vm)
	n := 0
	for _, w := range vms {
		if w.Name == vm || w.State != arbutusfork.VMLive {
			continue
		}
		if h := rendezvousWeight(shard, w.Name); h > ownWeight || h == ownWeight && w.Name < vm {
			n++
		}
	}
	return n
}

// rendezvousWeight returns the VM's weight for the shard in rendezvous hashing.
func rendezvousWeight(shard, vm string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + vm)
}

// ShardCount returns the number of shards of a service with that many endpoints.
func ShardCount(endpoints int) int {
	if endpoints <= maxSingleShardEndpoints {
		return 1
	}
	return (endpoints + meanShardEndpoints - 1) / meanShardEndpoints
}

// ShardName returns the name of the stored object of the service's n-th shard.
func ShardName(service string, n int) string { return fmt.Sprintf("%s-%d", service, n) }

// ShardIndex returns the index of the shard that contains an endpoint, or that places a base model and its adapters.
// When the number of shards changes by one, few names move.
func ShardIndex(name string, shards int) int {
	key := xxhash.Sum64String(name)
	// Jump consistent hash (Lamping and Veach, 2014).
	var b, j int64 = -1, 0
	for j < int64(shards) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}

// PreferredOwner returns the name of the live VM of rank 0 for the shard, or an empty name if no VM is live.
func PreferredOwner(shard string, vms []arbutusfork.VM) string {
	best, bestWeight := "", uint64(0)
	for _, w := range vms {
		if h := rendezvousWeight(shard, w.Name); w.State == arbutusfork.VMLive && (best == "" || h > bestWeight || h == bestWeight && w.Name < best) {
			best, bestWeight = w.Name, h
		}
	}
	return best
}
