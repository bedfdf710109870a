package afgateway

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// requestWeight is what one request in progress costs a new one, in prompt tokens that would have to be read: each
	// makes every step longer.
	requestWeight = 120
	// farWeight is the cost of another data centre in the same unit: a millisecond or two each way and its bytes.
	farWeight = 100
	// overfull is how many requests an engine may have above its slots. They wait there for milliseconds and spare the
	// way back here.
	overfull = 8
	// maxUnread bounds the prompt tokens that an engine has still to read. Engines read 2,048 tokens between two steps of
	// the running streams, which takes 80 to 93 ms, and an event holds three or four steps: with more prompts in a row the
	// pauses of the streams grow beyond their aim of 250 to 300 ms.
	maxUnread = 8000
	// plainQueue is how many requests a plain endpoint may have for each of its slots.
	plainQueue = 3
)

// want is what a request needs of an endpoint.
type want struct {
	model, adapter string
	// prompt and tokens are those of the request, shared the tokens that near has read before.
	prompt, tokens, shared int64
	centre                 string
	tried                  map[string]bool
	near                   string
	engine                 *afroute.EngineSpec
	now                    time.Time
}

// holds reports whether new requests for the model may go to the endpoint.
func holds(e afroster.Endpoint, model, adapter string) bool {
	return afengine.IsLoaded(e.Models, model, adapter) && !slices.Contains(e.ClosingModels, model)
}

// choose returns the endpoint that should answer soonest. Endpoints that failed their latest requests are left out
// unless no other is left, and one of them gets a trial after its pause.
func choose(all []afroster.Endpoint, w want) (afroster.Endpoint, bool) {
	var (
		best, spare         afroster.Endpoint
		bestCost, spareCost int64
		found, foundSpare   bool
	)
	for _, e := range all {
		if w.tried[e.ID] || !fits(e, w) {
			continue
		}
		c := cost(e, w)
		if e.Health.IsEjected(w.now) {
			if !foundSpare || c < spareCost {
				spare, spareCost, foundSpare = e, c, true
			}
			continue
		}
		if e.Health.IsTrialDue(w.now) {
			// A trial goes first, so that the endpoint is back as soon as it answers again.
			c /= 2
		}
		if !found || c < bestCost {
			best, bestCost, found = e, c, true
		}
	}
	if !found && foundSpare && outMajority(all, w.now) {
		return spare, true
	}
	return best, found
}

// outMajority reports whether half of the endpoints or more are out. Then the cause is hardly theirs.
func outMajority(all []afroster.Endpoint, now time.Time) bool {
	out := 0
	for _, e := range all {
		if e.Health.IsEjected(now) {
			out++
		}
	}
	return 2*out >= len(all)
}

// fits reports whether the endpoint can take the request now.
func fits(e afroster.Endpoint, w want) bool {
	load := e.OwnLoad.Add(e.OtherVMsLoad)
	if w.engine == nil {
		return load.Requests < max(e.Slots, 1)*plainQueue
	}
	if !holds(e, w.model, w.adapter) || load.Requests >= w.engine.Slots+overfull {
		return false
	}
	if load.UnreadPromptTokens > 0 && load.UnreadPromptTokens+w.prompt > maxUnread {
		return false
	}
	return load.Requests == 0 || w.engine.CacheTokens <= 0 || load.TotalTokens+w.tokens <= w.engine.CacheTokens+w.engine.CacheTokens/8
}

// cost estimates how long the endpoint takes to the first answer, in prompt tokens.
func cost(e afroster.Endpoint, w want) int64 {
	load := e.OwnLoad.Add(e.OtherVMsLoad)
	c := load.UnreadPromptTokens + int64(load.Requests)*requestWeight + w.prompt
	if e.Centre != w.centre {
		c += farWeight
	}
	if w.near != "" && e.ID == w.near {
		c -= w.shared
	}
	if w.engine == nil {
		// Plain endpoints differ in slots; what counts is the part of them that is taken.
		c = int64(load.Requests*1000/max(e.Slots, 1)) + farWeight*b2i(e.Centre != w.centre)
	}
	return c
}

func b2i(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
