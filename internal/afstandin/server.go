package afstandin

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// serveHTTP serves a handler until ctx ends. Connections are numbered by connect, if there is one.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler, connect func() int64) error {
	srv := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	if connect != nil {
		srv.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connect())
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen binds the address unless a listener was given.
func listen(l net.Listener, address string) (net.Listener, error) {
	if l != nil {
		return l, nil
	}
	return net.Listen("tcp", address)
}
