package afgateway

import (
	"math"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// requestCostTokens is the cost of each request in progress at an endpoint, in prompt tokens that could be read in
	// the same time. Each request makes every step of the engine longer.
	requestCostTokens = 120
	// remoteCentreCostTokens is the cost of an endpoint in another data centre, in prompt tokens: the delay of one or
	// two milliseconds each way and the transferred bytes.
	remoteCentreCostTokens = 100
	// maxRequestsAboveSlots bounds the requests that an engine gets in excess of its slots. They wait in the engine for
	// milliseconds, which saves the round trip to the gateway when a slot becomes free.
	maxRequestsAboveSlots = 8
	// maxUnreadPromptTokens bounds the prompt tokens that an engine has not read yet. Engines read 2,048 tokens between
	// two steps of the running streams, which takes 80 to 93 ms, and an event consists of three or four steps. With
	// more prompts in a row, the time between two events exceeds the target of 250 to 300 ms.
	maxUnreadPromptTokens = 8000
	// maxPlainRequestsPerSlot bounds the requests in progress for each slot of an endpoint without a model engine.
	maxPlainRequestsPerSlot = 3
)

// requirements describe a request for the choice of an endpoint.
type requirements struct {
	model, adapter string
	// promptTokens is the number of tokens of the prompt.
	promptTokens int64
	// totalTokens is the number of tokens of the prompt and the largest output.
	totalTokens int64
	// sharedTokens is the number of tokens of the prompt that sessionEndpoint has read before.
	sharedTokens int64
	// centre is the data centre of this VM.
	centre string
	// excluded holds the IDs of endpoints that must not be chosen.
	excluded map[string]bool
	// sessionEndpoint is the ID of the endpoint that read the previous prompt of the session, or empty.
	sessionEndpoint string
	// engine is nil for services without model engines.
	engine *afroute.EngineSpec
	now    time.Time
	// isUnavailable reports whether an endpoint is in a pause for which it asked, or was full a moment ago. Nil means that none is.
	isUnavailable func(e afroster.Endpoint) bool
	// slotWait returns how long a request to an endpoint probably waits for a slot. Nil means not at all. Endpoints with a longer
	// wait than maxSlotWait have no capacity.
	slotWait    func(e afroster.Endpoint) time.Duration
	maxSlotWait time.Duration
	// startWait returns how long the engine probably reads other prompts before it can start the request. Nil means not at all.
	// Engines with a longer wait than maxStartWait have no capacity.
	startWait    func(e afroster.Endpoint) time.Duration
	maxStartWait time.Duration
}

// slotWaitFor returns how long a request to the endpoint probably waits for a slot.
func (needs requirements) slotWaitFor(e afroster.Endpoint) time.Duration {
	if needs.slotWait == nil {
		return 0
	}
	return needs.slotWait(e)
}

// acceptsModel returns a function that reports whether an endpoint with the loaded and closing models has loaded the model and
// the adapter and accepts new requests for the model.
func acceptsModel(model, adapter string) func(models []afengine.LoadedModel, closing []string) bool {
	return func(models []afengine.LoadedModel, closing []string) bool {
		return afengine.IsLoaded(models, model, adapter) && !slices.Contains(closing, model)
	}
}

// servesModel reports whether the endpoint has loaded the model and the adapter and accepts new requests for the model.
func servesModel(e afroster.Endpoint, model, adapter string) bool {
	return acceptsModel(model, adapter)(e.Models, e.ClosingModels)
}

// findCandidates returns the endpoints of a service that can serve the model. Services without model engines have no models.
func (s *Server) findCandidates(service afroute.Service, model, adapter string) afroster.Candidates {
	if service.Engine == nil {
		return s.Roster.Candidates(service.Name, func([]afengine.LoadedModel, []string) bool { return true })
	}
	return s.Roster.Candidates(service.Name, acceptsModel(model, adapter))
}

// chooseEndpoint returns the endpoint with capacity that should send the first event or response soonest. An ejected
// endpoint is only chosen if no other has capacity, and if it has gone on with an answer since its latest failure or at least half of
// all endpoints of the service are ejected. A cause outside the endpoints is then likely.
func chooseEndpoint(candidates afroster.Candidates, needs requirements) (afroster.Endpoint, bool) {
	var (
		best, bestEjected               afroster.Endpoint
		bestCost, bestEjectedCost       int64
		found, foundEjected, bestSpeaks bool
	)
	for _, e := range candidates.Endpoints {
		if needs.excluded[e.ID] || !hasCapacity(e, needs) || needs.isUnavailable != nil && needs.isUnavailable(e) {
			continue
		}
		slotWait := needs.slotWaitFor(e)
		if slotWait > needs.maxSlotWait {
			continue
		}
		estimate := estimateCost(e, needs) + slotWait.Milliseconds()*slotWaitCostTokens
		if needs.startWait != nil {
			startWait := needs.startWait(e)
			if startWait > needs.maxStartWait {
				continue
			}
			estimate += startWait.Milliseconds() * slotWaitCostTokens
		}
		if e.Health.IsEjected(needs.now) {
			speaks := e.Health.HasSpoken()
			if !foundEjected || speaks && !bestSpeaks || speaks == bestSpeaks && estimate < bestEjectedCost {
				bestEjected, bestEjectedCost, foundEjected, bestSpeaks = e, estimate, true, speaks
			}
			continue
		}
		if e.Health.IsTrialDue(needs.now) {
			// A lower cost sends the trial request soon, so that the endpoint is used again as soon as it has
			// recovered.
			estimate /= 2
		}
		if !found || estimate < bestCost {
			best, bestCost, found = e, estimate, true
		}
	}
	if !found && foundEjected && (bestSpeaks || 2*candidates.EjectedCount >= candidates.UsableCount) {
		return bestEjected, true
	}
	return best, found
}

// hasCapacity reports whether the endpoint can accept the request now.
func hasCapacity(e afroster.Endpoint, needs requirements) bool {
	load := e.OwnLoad.Add(e.OtherVMsLoad)
	if needs.engine == nil {
		return load.Requests < max(usableSlots(e, e.Slots), 1)*maxPlainRequestsPerSlot
	}
	if !servesModel(e, needs.model, needs.adapter) || load.Requests >= usableSlots(e, needs.engine.Slots)+maxRequestsAboveSlots {
		return false
	}
	if load.UnreadPromptTokens > 0 && load.UnreadPromptTokens+needs.promptTokens > maxUnreadPromptTokens {
		return false
	}
	return load.Requests == 0 || needs.engine.CacheTokens <= 0 || load.TotalTokens+needs.totalTokens <= needs.engine.CacheTokens+needs.engine.CacheTokens/8
}

// usableSlots returns how many of the slots of an endpoint count, which is a part of them while it is cold.
func usableSlots(e afroster.Endpoint, slots int) int {
	if e.SlotRatio > 0 {
		return int(float64(slots) * e.SlotRatio)
	}
	return slots
}

// weighColdLoad returns the load by which a cold endpoint is compared with warm ones: that with the request, in proportion to the
// slots that count.
func weighColdLoad(load afroster.Load, slotRatio float64) afroster.Load {
	load.Requests = int(math.Ceil(float64(load.Requests+1) / slotRatio))
	load.UnreadPromptTokens = int64(float64(load.UnreadPromptTokens) / slotRatio)
	return load
}

// estimateCost estimates the time until the first event or response of the endpoint, in prompt tokens that could be
// read in that time.
func estimateCost(e afroster.Endpoint, needs requirements) int64 {
	load := e.OwnLoad.Add(e.OtherVMsLoad)
	if e.SlotRatio > 0 {
		load = weighColdLoad(load, e.SlotRatio)
	}
	estimate := load.UnreadPromptTokens + int64(load.Requests)*requestCostTokens + needs.promptTokens
	if e.Centre != needs.centre {
		estimate += remoteCentreCostTokens
	}
	if needs.sessionEndpoint != "" && e.ID == needs.sessionEndpoint {
		estimate -= needs.sharedTokens
	}
	if needs.engine == nil {
		// Endpoints without model engines are compared by the fraction of their slots that is in use.
		estimate = int64(load.Requests*1000/max(e.Slots, 1)) + remoteCentreCostTokens*boolToInt(e.Centre != needs.centre)
	}
	return estimate
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
