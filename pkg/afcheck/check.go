package afcheck

import (
	"fmt"
	"strconv"
	"strings"

	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// maxPriority is the least urgent priority. The gateway sends a larger one to endpoints as maxPriority.
const maxPriority = 9

// Check returns what is wrong with a configuration that the daemon accepts: routes, then services, then customers.
func Check(c Config) []Finding {
	k := checker{config: c, services: make(map[string]afroute.Service, len(c.Services)), usedServices: make(map[string]bool)}
	for _, s := range c.Services {
		k.services[s.Name] = s.Service
	}
	k.checkRouteNames()
	for _, r := range c.Routes {
		k.checkHost(r)
		k.checkServices(r)
		k.checkTargets(r)
		k.checkAttempts(r)
		k.checkPriority(r.Place, r.Priority)
	}
	for _, s := range c.Services {
		k.checkService(s)
		k.checkModels(s)
	}
	for _, t := range c.Customers {
		k.checkCustomer(t)
	}
	return k.findings
}

// checker collects the findings of one configuration.
type checker struct {
	config       Config
	services     map[string]afroute.Service
	usedServices map[string]bool
	findings     []Finding
}

func (k *checker) warn(place, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: Warning, Place: place, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) warnField(place string, f Field, format string, args ...any) {
	k.warn(place+"."+k.config.FieldName(f), format, args...)
}

// checkRouteNames reports names of several routes, and routes that an earlier one hides: of two routes with the same host and
// prefix, the first one gets all requests.
func (k *checker) checkRouteNames() {
	type target struct{ host, prefix string }
	names, targets := make(map[string]string), make(map[target]string)
	for _, r := range k.config.Routes {
		if first, ok := names[r.Name]; ok && r.Name != "" {
			k.warn(r.Place, "%s has the same name, so that logs do not tell them apart; rename one of them", first)
		} else {
			names[r.Name] = r.Place
		}
		t := target{strings.ToLower(r.Host), r.Prefix}
		if first, ok := targets[t]; ok {
			k.warn(r.Place, "no request reaches this route, since %s comes first and has the same host and prefix; remove one of them", first)
		} else {
			targets[t] = r.Place
		}
	}
}

func (k *checker) checkHost(r Route) {
	if strings.ContainsAny(r.Host, ":/* \t") {
		k.warnField(r.Place, FieldHost, "no request matches %s; write the host name only, without a scheme, port, pattern or space", quote(r.Host))
	}
}

// checkServices checks where the requests of a route go.
func (k *checker) checkServices(r Route) {
	totalWeight := 0
	for _, s := range r.Services {
		totalWeight += s.Weight
	}
	field := FieldService
	if r.HasSplit {
		field = FieldSplit
	}
	if totalWeight == 0 {
		k.warnField(r.Place, FieldSplit, "all weights are zero or round to it, so that the last service gets all requests; set the weights in proportion to the requests")
	}
	seen := make(map[string]bool, len(r.Services))
	for _, s := range r.Services {
		k.usedServices[s.Service] = true
		if seen[s.Service] {
			k.warnField(r.Place, field, "service %s is listed twice; add its weights in one entry", quote(s.Service))
			continue
		}
		seen[s.Service] = true
		service, ok := k.services[s.Service]
		switch {
		case !ok && (s.Weight > 0 || totalWeight == 0):
			k.warnField(r.Place, field, "service %s is not configured, so that requests for it are refused; configure it or name another one", quote(s.Service))
		case ok && r.Kind == afroute.KindStreaming && service.Engine == nil:
			k.warnField(r.Place, field, "the route is streaming, but service %s has no engine; describe its engine or change the kind of the route", quote(s.Service))
		}
	}
}

// checkTargets checks the times of a route.
func (k *checker) checkTargets(r Route) {
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		k.warnField(r.Place, FieldTargetLatency, "the target of %s is above the timeout of %s, so that requests end before they are late; lower the target or raise the timeout", r.TargetLatency, r.Timeout)
	}
	if r.TargetEventInterval > 0 && r.Kind != afroute.KindStreaming {
		k.warnField(r.Place, FieldEventInterval, "has no effect, since the route is %s; remove it or make the route streaming", r.Kind)
	}
}

// checkAttempts checks whether another endpoint may resume a stream.
func (k *checker) checkAttempts(r Route) {
	switch {
	case !r.IsResumable:
	case r.Kind != afroute.KindStreaming:
		k.warnField(r.Place, FieldResumable, "has no effect, since the route is %s; remove it or make the route streaming", r.Kind)
	case r.MaxAttempts <= 1:
		k.warnField(r.Place, FieldMaxAttempts, "no stream is resumed with one attempt; allow at least 2 or make the route not resumable")
	}
}

func (k *checker) checkPriority(place string, priority int) {
	if priority < 0 || priority > maxPriority {
		k.warnField(place, FieldPriority, "%d is not a priority; use 0 for the most urgent requests to %d for the least urgent ones", priority, maxPriority)
	}
}

func (k *checker) checkService(s Service) {
	if !k.usedServices[s.Name] {
		k.warn(s.Place, "no route leads to this service; add a route or remove the service")
	}
	switch {
	case s.ColdRatePerSecond > 0 && s.ColdStartTime <= 0:
		k.warnField(s.Place, FieldColdRate, "has no effect without a cold start time; set that too")
	case s.ColdStartTime > 0 && s.ColdRatePerSecond <= 0:
		k.warnField(s.Place, FieldColdStart, "has no effect without a rate for cold endpoints; set that too")
	}
}

// checkModels checks which models fit into the engines of a service. Placement keeps memory free for as many of the largest
// adapters as an engine has adapter slots.
func (k *checker) checkModels(s Service) {
	if s.Engine == nil {
		return
	}
	reserveMB := 0.0
	for _, m := range s.Models {
		if m.AdapterCount > 0 {
			reserveMB = max(reserveMB, m.AdapterSizeMB*float64(s.Engine.AdapterSlots))
		}
	}
	seen := make(map[string]string)
	var withAdapters []string
	for _, m := range s.Models {
		if first, ok := seen[m.Name]; ok {
			k.warn(m.Place, "replaces %s, which has the same name; remove one of them", first)
		}
		seen[m.Name] = m.Place
		switch {
		case m.SizeMB > s.Engine.MemoryMB:
			k.warnField(m.Place, FieldModelSize, "no engine loads the model, since its %s MB exceed the engine's memory of %s MB; correct one of them or move the model to another service",
				formatMB(m.SizeMB), formatMB(s.Engine.MemoryMB))
		case m.SizeMB+reserveMB > s.Engine.MemoryMB:
			k.warnField(m.Place, FieldModelSize, "no engine loads the model, since its %s MB and the %s MB that are kept free for adapters exceed the engine's memory of %s MB; lower the number of adapter slots",
				formatMB(m.SizeMB), formatMB(reserveMB), formatMB(s.Engine.MemoryMB))
		}
		if m.AdapterCount > 0 && s.Engine.AdapterSlots <= 0 {
			withAdapters = append(withAdapters, m.Name)
		}
	}
	if len(withAdapters) > 0 {
		k.warnField(s.Place, FieldAdapterSlots, "models with adapters: %d, such as %s; but the engine has no adapter slot, so that requests for adapters are never served; give the engine adapter slots",
			len(withAdapters), quote(withAdapters[0]))
	}
}

// formatMB formats a size without an exponent, which operators do not write.
func formatMB(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (k *checker) checkCustomer(c Customer) {
	if c.KeyCount == 0 {
		k.warnField(c.Place, FieldKeys, "the customer has no key, so that no request counts for it; give it a key or remove it")
	}
	if c.HasPriority {
		k.checkPriority(c.Place, c.Priority)
	}
	cost, request := int64(1), "a request costs 1 unit"
	if c.CountsTokens {
		cost, request = c.DefaultTokenCost, fmt.Sprintf("a request without token counts costs %d tokens", c.DefaultTokenCost)
	}
	switch {
	case c.RatePerSecond > 0 && c.Burst == 0:
		k.warnField(c.Place, FieldBurst, "the customer has a rate but no burst, so that its requests are refused; set the burst")
	case c.RatePerSecond > 0 && c.Burst < cost:
		k.warnField(c.Place, FieldBurst, "%s, which the burst of %d never covers, so that it is always refused; raise the burst", request, c.Burst)
	case c.RatePerSecond <= 0 && c.Burst > 0:
		k.warnField(c.Place, FieldBurst, "has no effect, since a customer without a rate has no limit; set the rate or remove the burst")
	}
}
