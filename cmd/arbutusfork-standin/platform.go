package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// platform is the stand-in of the platform with an initial list of VMs.
type platform struct {
	address string
	vmsJSON string
	standin afstandin.Platform
}

// Run stores the initial list of VMs and serves until ctx ends.
func (p *platform) Run(ctx context.Context) error {
	var vms map[string]json.RawMessage
	if err := json.Unmarshal([]byte(p.vmsJSON), &vms); err != nil {
		return err
	}
	for name, spec := range vms {
		if _, err := p.standin.PutObject(afobject.KindVMs, name, spec); err != nil {
			return err
		}
	}
	server := &http.Server{Addr: p.address, Handler: p.standin.Handler()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
