package afcrash

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

const (
	// checkTimeout bounds the attempt to connect to an endpoint whose answer broke off.
	checkTimeout = 600 * time.Millisecond
	// maxChecks bounds the attempts of the process to connect that are in progress. A crash that is not checked is no evidence.
	maxChecks = 64
)

// Checker finds out whether endpoints whose answers broke off have crashed: a crashed endpoint refuses connections, one that
// only lost an answer accepts them. Set the exported fields before the first call.
type Checker struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RecordCrash is called with each crash that a check has found.
	RecordCrash func(afquarantine.Crash)

	mu sync.Mutex
	// waiting holds, for each endpoint with a check in progress, what the next check is for. A crash without suspects means that
	// no other answer has broken off.
	waiting map[endpointStart]afquarantine.Crash
}

// endpointStart identifies an endpoint from its start to its end.
type endpointStart struct {
	endpoint    string
	startUnixMs int64
}

// Check checks in the background whether an endpoint has crashed. The suspects are those of the answers that broke off. Answers
// of one endpoint that break off during a check share the next one.
func (c *Checker) Check(address string, suspected afquarantine.Crash) {
	key := endpointStart{suspected.Endpoint, suspected.StartUnixMs}
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting, isChecking := c.waiting[key]; isChecking {
		if len(waiting.Suspects) > 0 {
			suspected = waiting.WithSuspects(suspected)
		}
		c.waiting[key] = suspected
		return
	}
	if len(c.waiting) >= maxChecks {
		return
	}
	if c.waiting == nil {
		c.waiting = make(map[endpointStart]afquarantine.Crash)
	}
	c.waiting[key] = afquarantine.Crash{}
	go c.run(address, key, suspected)
}

// run checks an endpoint until no answer has broken off during the latest check.
func (c *Checker) run(address string, key endpointStart, suspected afquarantine.Crash) {
	for {
		if c.refusesConnections(address) {
			c.RecordCrash(suspected)
		}
		c.mu.Lock()
		suspected = c.waiting[key]
		if len(suspected.Suspects) == 0 {
			delete(c.waiting, key)
			c.mu.Unlock()
			return
		}
		c.waiting[key] = afquarantine.Crash{}
		c.mu.Unlock()
	}
}

// refusesConnections reports whether nothing listens at an address.
func (c *Checker) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
