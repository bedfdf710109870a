package afsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	limitedCustomer = "limited"
	callTimeout     = 8 * time.Second
)

var modelNames = []string{"m1", "m2", "m3", "m4", "m5"}

// call is one request and the response that its caller received.
type call struct {
	id, path, key, customer string
	vm                      *vm
	sentAt, endedAt         time.Time
	// vmFaultFreeTime is the time from the end of the last fault injected into the VM until the request was sent. It is 0
	// if a fault lasted when the request was sent.
	vmFaultFreeTime time.Duration
	// hadFault means that a fault was injected into the VM while the request was in progress.
	hadFault bool
	// vmStartCount identifies the process of the VM that received the request.
	vmStartCount int
	// hasCrashPart means that the prompt contains crashPart.
	hasCrashPart bool
	// hasLargeBody means that the body may take longer to arrive than requestTransferTime.
	hasLargeBody bool
	status       int
	body         string
	// isSigned means that the response bears an endpoint's signature.
	isSigned bool
	// isComplete reports whether the response body was read to its end without an error.
	isComplete bool
	err        error
}

// begin sets what is known of the VM when the request is sent.
func (req *call) begin() {
	req.sentAt = time.Now()
	req.vmFaultFreeTime = req.vm.faultFreeTime(req.sentAt)
	req.vm.mu.Lock()
	defer req.vm.mu.Unlock()
	req.vmStartCount = req.vm.startCount
}

// callers sends the requests of all callers and records them. Each caller keeps one connection to one VM open and
// reuses it until it breaks.
type callers struct {
	fleet *fleet
	seed  uint64

	// crashPartSince is the time from which on some prompts contain crashPart.
	crashPartSince time.Time

	mu        sync.Mutex
	calls     []call
	callCount int
	// running holds the VM of each request in progress by its ID.
	running map[string]*vm
}

// sendRequests sends the requests of one caller, one after another, until ctx ends.
func (c *callers) sendRequests(ctx context.Context, callerIndex int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(callerIndex)+100))
	partRandom := rand.New(rand.NewPCG(c.seed, uint64(callerIndex)+1000))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	v := c.fleet.vms[callerIndex%len(c.fleet.vms)]
	for ctx.Err() == nil {
		c.sendRequest(random, partRandom, client, v)
		pause := time.Duration(10+random.IntN(60)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendRequest sends one random request to v, checks the answer and records the call. PartRandom chooses the parts of its prompt.
func (c *callers) sendRequest(random, partRandom *rand.Rand, client *http.Client, v *vm) {
	c.mu.Lock()
	c.callCount++
	req := call{id: fmt.Sprintf("r%05d", c.callCount), vm: v}
	c.mu.Unlock()
	keys := []string{"key-one", "key-two", "key-limited", "key-never"}
	customers := []string{"one", "two", limitedCustomer, ""}
	customerIndex := min(random.IntN(13)/4, 3)
	req.key, req.customer = keys[customerIndex], customers[customerIndex]
	req.path = []string{"/talk/", "/note/", "/pay/", "/look/"}[random.IntN(4)] + "x"
	method := http.MethodPost
	if strings.HasPrefix(req.path, "/look/") {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+v.ip+afplatform.CallersPort+req.path, bytes.NewReader([]byte("hello")))
	if err != nil {
		c.fleet.reportViolation("SOAK", "request not made: %v", err)
		return
	}
	r.Host = "soak.example"
	headers := afplatform.RequestHeaders{RequestID: req.id, APIKey: req.key, Timeout: streamRouteTimeout, PromptTokens: requestTokens * 2 / 3, OutputTokens: requestTokens / 3}
	if strings.HasPrefix(req.path, "/talk/") || strings.HasPrefix(req.path, "/note/") {
		headers.Model = modelNames[random.IntN(len(modelNames))]
		headers.PromptParts = []string{"system", "document" + strconv.Itoa(partRandom.IntN(20)), req.id}
		if partRandom.IntN(10) == 0 && time.Now().After(c.crashPartSince) {
			headers.PromptParts[1], req.hasCrashPart = crashPart, true
		}
	}
	headers.SetOn(r.Header)
	req.begin()
	c.finishRequest(req, client, r)
}

// finishRequest sends a request, checks the answer and records the call.
func (c *callers) finishRequest(req call, client *http.Client, r *http.Request) {
	c.mu.Lock()
	c.running[req.id] = req.vm
	c.mu.Unlock()
	resp, err := client.Do(r)
	if err != nil {
		req.err = err
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // The body was read to its end or failed with an error.
		req.status, req.body, req.isComplete, req.err = resp.StatusCode, string(body), err == nil, err
		if part := malformedPart(resp); part != "" {
			c.fleet.reportViolation("MIXED", "request %s: malformed head %q", req.id, part)
		}
		req.isSigned = afplatform.HasSignature(resp.Header)
		if req.status == http.StatusOK && !req.isSigned {
			c.fleet.reportViolation("MIXED", "request %s: success without a signature", req.id)
		}
	}
	req.endedAt, req.hadFault = time.Now(), req.vm.hadFaultSince(req.sentAt)
	c.checkAnswer(req)
	c.mu.Lock()
	delete(c.running, req.id)
	c.calls = append(c.calls, req)
	c.mu.Unlock()
}

// checkAnswer reports violations that the response of one request shows by itself.
func (c *callers) checkAnswer(req call) {
	if req.status == http.StatusOK {
		if strings.HasPrefix(req.path, "/pay/") || strings.HasPrefix(req.path, "/look/") {
			if req.isComplete && req.body != "done "+req.id {
				c.fleet.reportViolation("MIXED", "request %s: answer %q", req.id, req.body)
			}
		} else {
			c.checkStream(req)
		}
		if req.customer == "" {
			c.fleet.reportViolation("ROUTE", "request %s was served with a key that never was", req.id)
		}
	}
	if req.customer != "" && (req.status == http.StatusNotFound || req.status == http.StatusUnauthorized) && c.isKeyInForce(req.key) {
		c.fleet.reportViolation("DENIED", "request %s at %s: status %d for a key in force", req.id, req.vm.name, req.status)
	}
}

// isKeyInForce returns whether key is in the configuration throughout the run. It returns false for revokedKey, which is
// withdrawn at times.
func (c *callers) isKeyInForce(key string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	_, ok := c.fleet.customerByKey[key]
	return ok && key != revokedKey
}

// checkStream checks that the body is the beginning of the expected stream, and all of it if the response ended without
// an error.
func (c *callers) checkStream(req call) {
	want := ""
	for i := 1; i <= streamEventCount; i++ {
		want += afplatform.StreamEvent(req.id, i)
	}
	if !strings.HasPrefix(want, req.body) {
		c.fleet.reportViolation("ORDER", "request %s: stream %q", req.id, req.body)
	}
	if req.isComplete && req.body != want {
		c.fleet.reportViolation("ORDER", "request %s: a stream of %d bytes ended as complete", req.id, len(req.body))
	}
}
