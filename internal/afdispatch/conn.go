package afdispatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afretry"
)

const (
	// dialTimeout is far above the 1.5 ms between data centres and below what a caller notices.
	dialTimeout = time.Second
	// idleTimeout ends unused connections before common servers and middleboxes drop them.
	idleTimeout = 30 * time.Second
	// keepAliveIdle and the following detect a peer that is gone within about 5 s.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	idlePerEndpoint   = 256
)

// countedConn is a connection to an endpoint that knows whether bytes were handed to the operating system.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write hands bytes to the operating system unless the connection is sealed.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// mark returns the number of writes so far.
func (c *countedConn) mark() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all later writes and reports whether any were made after the mark. Without it, the transport's
// writer could still send the request after its failure was classified.
func (c *countedConn) seal(mark int) (written bool) {
	c.mu.Lock()
	written = c.writes != mark
	c.sealed = true
	c.mu.Unlock()
	_ = c.Close()
	return written
}

// pools holds one transport per address, so that the idle connections of one endpoint can be dropped.
type pools struct {
	mu    sync.Mutex
	m     map[string]*http.Transport
	fresh *http.Transport
}

// once returns the transport for calls that are not idempotent. It opens a connection for each call, which takes
// about a millisecond: on a connection that went silent while idle, the outcome would be unknown.
func (p *pools) once() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fresh == nil {
		p.fresh = newTransport()
		p.fresh.DisableKeepAlives = true
	}
	return p.fresh
}

func (p *pools) get(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.m[address]; t != nil {
		return t
	}
	if p.m == nil {
		p.m = make(map[string]*http.Transport)
	}
	t := newTransport()
	p.m[address] = t
	return t
}

func newTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
	}
}

// budgets holds the retry budgets by customer and by route.
type budgets struct {
	mu sync.Mutex
	m  map[budgetKey]*afretry.Budget
}

// budgetKey names a customer or a route; the other is empty.
type budgetKey struct{ customer, route string }

func (b *budgets) of(k budgetKey) *afretry.Budget {
	if b.m == nil {
		b.m = make(map[budgetKey]*afretry.Budget)
	}
	x := b.m[k]
	if x == nil {
		x = &afretry.Budget{}
		b.m[k] = x
	}
	return x
}

func (b *budgets) earn(r Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(budgetKey{customer: r.Customer}).CreditRequest(now)
	b.of(budgetKey{route: r.Route}).CreditRequest(now)
}

// spend takes a retry from both budgets, or from neither.
func (b *budgets) spend(r Request, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, t := b.of(budgetKey{customer: r.Customer}), b.of(budgetKey{route: r.Route})
	return c.HasRetry(now) && t.HasRetry(now) && c.TakeRetry(now) && t.TakeRetry(now)
}
