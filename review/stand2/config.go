package main

// host is the host of all routes.
const host = "pule25.example"

// limits are those of the site files.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}

// plainRoute is a route to a plain service, as the sheets have them.
func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
		"service": "order-ledger", "max_attempts": attempts, "sticky": false, "public": false, "resumable": false,
	}
}

func configuration(version int, routes []map[string]any, services []map[string]any, tenants []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants, "limits": limits}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": append([]string{}, keys...)}
}

var plainService = map[string]any{"name": "order-ledger", "max_conns": 110, "slot_count": 6}
