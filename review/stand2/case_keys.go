package main

import "time"

func init() { cases["keys"] = playKeys }

// applyTime is config_apply_ms, and checkAfter when the keys are tried after the acknowledgement.
const (
	applyTime  = 2 * time.Second
	checkAfter = applyTime + 3*time.Second
)

// playKeys takes the keys of both tenants away, one after the other. From config_apply_ms after the acknowledgement, requests with a key that
// was taken away, and with one that no configuration ever held, must get 401 and must not run. Without the trouble one tenant keeps its key.
func playKeys(trouble bool) bool {
	st := newStore()
	routes := []map[string]any{plainRoute("deposit-post", "/bobo563/", "non_idempotent", 1)}
	services := []map[string]any{plainService}
	st.put("op", "config", configuration(3, routes, services, []map[string]any{tenant("bozi300", "key-a"), tenant("lamu41", "key-b")}))
	engines := []*engine{newEngine("order-ledger", "z-a", "i-1"), newEngine("order-ledger", "z-b", "i-2"), newEngine("order-ledger", "z-c", "i-3")}
	for _, en := range engines {
		en.register(st)
	}
	fronts := newFronts(st, "z-a", "z-b", "z-c")
	startAll(fronts, 4*time.Second)
	status := func(fr *front, id, key string) int {
		lines := []string{"Authorization: Token " + key, "Turmericdoor-Deadline-Ms: 4000"}
		return ask(fr, "POST", "/bobo563/lo7", host, id, lines, "a deposit").status
	}
	for _, fr := range fronts {
		for key, expected := range map[string]int{"key-a": 200, "key-b": 200, "never-a-key": 401} {
			if got := status(fr, newID(), key); got != expected {
				cannotRun("before the change: status %d with %s, expected %d", got, key, expected)
			}
		}
	}
	st.put("op", "config", configuration(7, routes, services, []map[string]any{tenant("bozi300"), tenant("lamu41", "key-b")}))
	note("the store acknowledges version 7: bozi300 has no key, lamu41 has key-b")
	kept := "key-b"
	if trouble {
		time.Sleep(time.Second)
		st.put("op", "config", configuration(9, routes, services, []map[string]any{tenant("bozi300"), tenant("lamu41")}))
		note("the store acknowledges version 9: no tenant has a key")
		kept = ""
	}
	time.Sleep(checkAfter)
	keys := map[string]string{}
	for range 3 {
		for _, fr := range fronts {
			for _, key := range []string{"key-a", "never-a-key"} {
				id := newID()
				keys[id] = key
				status(fr, id, key)
			}
			if kept != "" && status(fr, newID(), kept) != 200 {
				cannotRun("the key that is left is not served")
			}
		}
	}
	broken := 0
	for id, key := range keys {
		if at := ranAt(engines, id); at != "" {
			broken++
			note("broken: %s with %s ran at %s", id, key, at)
		}
	}
	note("%d of %d requests ran whose key is in no configuration that may be in force", broken, len(keys))
	return broken > 0
}
