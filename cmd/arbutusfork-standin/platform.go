package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// platform serves the object API and its list of VMs.
type platform struct {
	address string
	vms     string
	standin afstandin.Platform
}

// Run serves until ctx ends.
func (p *platform) Run(ctx context.Context) error {
	var vms map[string]json.RawMessage
	if err := json.Unmarshal([]byte(p.vms), &vms); err != nil {
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
