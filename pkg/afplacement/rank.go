package afplacement

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork"
)

const (
	// shardSize is the number of endpoints up to which a service has one shard.
	shardSize = 32
	// shardMean is the mean number of endpoints of each of several shards. It leaves room for uneven hashing.
	shardMean = 24
)

// OwnerRank returns the VM's place in the shard's order of preferred owners by rendezvous hashing; 0 is the most preferred.
func OwnerRank(shard, vm string, vms []arbutusfork.VM) int {
	own := weight(shard, vm)
	n := 0
	for _, w := range vms {
		if w.Name == vm || w.State != arbutusfork.VMLive {
			continue
		}
		if h := weight(shard, w.Name); h > own || h == own && w.Name < vm {
			n++
		}
	}
	return n
}

func weight(shard, vm string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + vm)
}

// ShardCount returns the number of shards of a service with that many endpoints.
func ShardCount(endpoints int) int {
	if endpoints <= shardSize {
		return 1
	}
	return (endpoints + shardMean - 1) / shardMean
}

// ShardName returns the name of the shard's object.
func ShardName(service string, n int) string { return fmt.Sprintf("%s-%d", service, n) }

// ShardIndex returns the shard of an endpoint, or the shard that places a base model and its adapters. When the
// number of shards changes by one, few names move.
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

// PreferredOwner returns the live VM of rank 0 for the shard, or an empty name if there is none.
func PreferredOwner(shard string, vms []arbutusfork.VM) string {
	best, high := "", uint64(0)
	for _, w := range vms {
		if h := weight(shard, w.Name); w.State == arbutusfork.VMLive && (best == "" || h > high || h == high && w.Name < best) {
			best, high = w.Name, h
		}
	}
	return best
}
