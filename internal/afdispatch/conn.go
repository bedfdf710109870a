package afdispatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afhead"
	"arbutusfork.example/arbutusfork/pkg/afretry"
)

const (
	// dialTimeout bounds connecting to an endpoint. It is far above the 1.5 ms between data centres and below the delay
	// that a caller notices.
	dialTimeout = time.Second
	// idleConnTimeout closes unused connections before common servers and middleboxes drop them.
	idleConnTimeout = 30 * time.Second
	// keepAliveIdle is the idle time before the first TCP keep-alive probe. With keepAliveInterval and keepAliveProbes, a
	// peer that is gone is detected within about 5 s.
	keepAliveIdle = 3 * time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes that closes the connection.
	keepAliveProbes = 2
	// maxHeadBytes bounds the head of a response together with the interim responses before it.
	maxHeadBytes = 32 << 10
	// maxIdleConnsPerEndpoint bounds the unused connections to one endpoint.
	maxIdleConnsPerEndpoint = 256
)

// sealableConn is a connection to an endpoint that counts its writes and can refuse further ones, so that the caller
// learns whether bytes of a request were passed to the operating system.
type sealableConn struct {
	*afhead.Conn
	mu         sync.Mutex
	writeCount int
	isSealed   bool
}

// Write passes the bytes to the operating system unless the connection is sealed.
func (c *sealableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeCount++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// countWrites returns the number of writes so far.
func (c *sealableConn) countWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCount
}

// seal closes the connection, refuses all later writes and reports whether there were writes after countBefore was taken.
// Without it, the transport's writer could still send the request after the attempt was classified as not run.
func (c *sealableConn) seal(countBefore int) (written bool) {
	c.mu.Lock()
	written = c.writeCount != countBefore
	c.isSealed = true
	c.mu.Unlock()
	_ = c.Close()
	return written
}

// transportPool holds one transport per address, so that the idle connections to one endpoint can be closed.
type transportPool struct {
	mu        sync.Mutex
	byAddress map[string]*afhead.Transport
	singleUse *afhead.Transport
}

// singleUseTransport returns the transport for calls that are not idempotent. It opens a connection for each call, which
// takes about a millisecond. If a reused connection had died while idle, the outcome of the call would be unknown.
func (p *transportPool) singleUseTransport() *afhead.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.singleUse == nil {
		base := newBaseTransport()
		base.DisableKeepAlives = true
		p.singleUse = &afhead.Transport{Base: base}
	}
	return p.singleUse
}

// transportFor returns the transport for idempotent calls to the address. It creates the transport if needed.
func (p *transportPool) transportFor(address string) *afhead.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byAddress[address]; t != nil {
		return t
	}
	if p.byAddress == nil {
		p.byAddress = make(map[string]*afhead.Transport)
	}
	t := newTransport()
	p.byAddress[address] = t
	return t
}

func newTransport() *afhead.Transport { return &afhead.Transport{Base: newBaseTransport()} }

func newBaseTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: afhead.NewConn(c)}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// retryBudgets holds one retry budget per customer and one per route.
type retryBudgets struct {
	mu    sync.Mutex
	byKey map[budgetKey]*afretry.Budget
}

// budgetKey names a customer or a route. The other field is empty.
type budgetKey struct{ customer, route string }

// budgetFor returns the budget of the key. It creates the budget if needed. The caller holds the lock.
func (b *retryBudgets) budgetFor(k budgetKey) *afretry.Budget {
	if b.byKey == nil {
		b.byKey = make(map[budgetKey]*afretry.Budget)
	}
	budget := b.byKey[k]
	if budget == nil {
		budget = &afretry.Budget{}
		b.byKey[k] = budget
	}
	return budget
}

// creditRequest credits a new request to the budgets of its customer and its route.
func (b *retryBudgets) creditRequest(r Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(budgetKey{customer: r.Customer}).CreditRequest(now)
	b.budgetFor(budgetKey{route: r.Route}).CreditRequest(now)
}

// spendRetry takes one retry from the budgets of the request's customer and route. If one of them is used up, it takes
// nothing and returns false.
func (b *retryBudgets) spendRetry(r Request, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	customerBudget, routeBudget := b.budgetFor(budgetKey{customer: r.Customer}), b.budgetFor(budgetKey{route: r.Route})
	return customerBudget.HasRetry(now) && routeBudget.HasRetry(now) && customerBudget.TakeRetry(now) && routeBudget.TakeRetry(now)
}
