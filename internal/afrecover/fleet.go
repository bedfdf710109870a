// Package afrecover drives a running example under failures and checks the conditions of the design page.
package afrecover

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"arbutusfork.example/arbutusfork/internal/afdemo"
)

// Deployment is a running example deployment.
type Deployment struct {
	afdemo.BaseURLs
	// JSONClient sends control requests. Callers' requests have their own connections.
	afdemo.JSONClient
}

// controlTimeout bounds one control request. A frozen VM answers none.
const controlTimeout = 5 * time.Second

// ownerWait is above the time of a take-over.
const ownerWait = 15 * time.Second

// get decodes the answer of a GET request into v.
func (f *Deployment) get(ctx context.Context, target string, v any) error {
	return f.call(ctx, http.MethodGet, target, nil, v)
}

// call sends a control request and decodes the answer into v unless it is nil.
func (f *Deployment) call(ctx context.Context, method, target string, message, v any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return f.SendRequest(ctx, method, target, message, v)
}

type vmStatus struct {
	Shards []struct {
		Name  string `json:"name"`
		Owned bool   `json:"owned"`
	} `json:"shards"`
	Limits []struct {
		Customer string `json:"customer"`
		Base     int64  `json:"base"`
	} `json:"limits"`
}

// FindShardOwner returns the number, from 1, of the VM that owns the shard. It waits while a take-over is due.
func (f *Deployment) FindShardOwner(ctx context.Context, shard string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	for {
		n, err := f.owner(ctx, shard)
		if err == nil || pause(ctx, ownerPoll) != nil {
			return n, err
		}
	}
}

func (f *Deployment) owner(ctx context.Context, shard string) (int, error) {
	for i, operator := range f.OperatorsURLs {
		var s vmStatus
		if f.get(ctx, operator+"/v1/status", &s) != nil {
			continue // A VM that is down owns nothing.
		}
		for _, sh := range s.Shards {
			if sh.Name == shard && sh.Owned {
				return i + 1, nil
			}
		}
	}
	return 0, fmt.Errorf("no VM owns the shard %s", shard)
}

// FindShareHolder returns the number, from 1, of the VM with the largest base share of the customer's limit, other than
// the VM with the number except.
func (f *Deployment) FindShareHolder(ctx context.Context, customer string, except int) (int, error) {
	best, most := 0, int64(0)
	for i, operator := range f.OperatorsURLs {
		var s vmStatus
		if i+1 == except || f.get(ctx, operator+"/v1/status", &s) != nil {
			continue // A VM that is down is not to be chosen.
		}
		for _, l := range s.Limits {
			if l.Customer == customer && l.Base > most {
				best, most = i+1, l.Base
			}
		}
	}
	if best == 0 {
		return 0, fmt.Errorf("no VM holds a share of %s", customer)
	}
	return best, nil
}

// issue returns the secret of a new key.
func (f *Deployment) issue(ctx context.Context, operator, name, customer string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return f.IssueKey(ctx, operator, name, customer)
}
