package main

import (
	"cmp"
	"time"
)

// writeConfig writes the configuration: a resumable route of a model service, one that may not be repeated, and two of a plain service.
func (f *fleet) writeConfig(version int64, modelMB map[string]float64) {
	var models []any
	for name, size := range modelMB {
		models = append(models, map[string]any{"name": name, "weights-mb": size, "load-s": 6.0, "disk-s": 0.6, "warm-s": 0.42, "adapters": 0, "adapter-mb": 40})
	}
	route := func(name, kind, service string, attempts int, timeout time.Duration, target int, isResumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "review.example", "path-prefix": "/" + name + "/", "route-type": kind, "timeout-ms": timeout.Milliseconds(), "target-latency-ms": target,
			"priority": 1, "service": service, "max-attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": isResumable, "gap-aim-ms": 250,
		}
	}
	f.store.PutObject("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("tag", "streaming", "llm", 2, 8*time.Second, 1500, true), route("rewrite", "streaming", "llm", 1, 30*time.Second, 3000, false),
			route("pay", "unsafe", "app", 1, 1500*time.Millisecond, 150, false), route("stock", "safe", "app", 2, 1500*time.Millisecond, 150, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "health-check": "/health", "max-connections": 360, "engine": map[string]any{
				"slots": 64, "kv-capacity": 142642, "weights-mb": 200000, "adapter-slots": 8, "loads-per-s": 2.6, "models": models,
			}},
			map[string]any{"name": "app", "health-check": "/health", "max-connections": 96},
		},
		"tenants": []any{
			map[string]any{"name": "one", "api-keys": []string{"key-one"}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": cmp.Or(f.rate, 1000000), "burst": cmp.Or(f.rate, 1000000)},
			map[string]any{"name": "two", "api-keys": []string{"key-two"}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 1000000, "burst": 1000000},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
