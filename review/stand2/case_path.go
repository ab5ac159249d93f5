package main

import "time"

func init() { cases["path"] = playPath }

// playPath sends requests whose path begins with two slashes on a route with the prefix "/".
func playPath(trouble bool) bool {
	st := newStore()
	routes := []map[string]any{plainRoute("order-lookup", "/", "idempotent", 2)}
	st.put("op", "config", configuration(3, routes, []map[string]any{plainService}, []map[string]any{tenant("bozi300", "key-a")}))
	en := newEngine("order-ledger", "z-a", "i-1")
	en.register(st)
	fronts := newFronts(st, "z-a")
	startAll(fronts, 3*time.Second)
	uris := []string{"/2f/7?a=b", "/2f//7", "/"}
	if trouble {
		uris = append(uris, "//2f/7?a=b", "//2f")
	}
	sent := map[string]string{}
	for _, uri := range uris {
		id := newID()
		sent[id] = uri
		ask(fronts[0], "GET", uri, host, id, []string{"Authorization: Token key-a", "Turmericdoor-Deadline-Ms: 4000"}, "")
	}
	broken := 0
	for _, ran := range en.ran() {
		if ran.uri != sent[ran.id] {
			broken++
			note("broken: %s was sent with %q and runs with %q", ran.id, sent[ran.id], ran.uri)
		}
	}
	return broken > 0
}
