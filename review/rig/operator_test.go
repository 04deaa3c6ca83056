//go:build review

package rig

import (
	"encoding/json"
	"sort"
)

type config struct {
	version int
	routes  []string // names of queues; each has a service of its own name
	tenants map[string]string
}

func (r *rig) publish(c config) {
	routes, backends, tenants := []map[string]any{}, []map[string]any{{"name": "off", "standby": true}}, []map[string]any{}
	for _, n := range c.routes {
		routes = append(routes, map[string]any{"name": n, "host": "jobs.example", "path_prefix": "/" + n + "/", "backend": "svc-" + n, "attempts": 3, "stretch_factor": 2.0, "target_latency_ms": 600})
		backends = append(backends, map[string]any{"name": "svc-" + n, "enforces_capacity": true})
	}
	names := []string{}
	for n := range c.tenants {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		tenants = append(tenants, map[string]any{"name": n, "api_keys": []string{c.tenants[n]}, "weight": 1000, "cap": map[string]int{}})
	}
	b, _ := json.Marshal(map[string]any{"version": c.version, "routes": routes, "backends": backends, "tenants": tenants, "limits": map[string]any{"max_body_bytes": 262144}})
	r.store.put("keyed.op", "config", b)
	r.note("operator: config %d confirmed", c.version)
}
