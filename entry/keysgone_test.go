package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// takeAllKeys takes the keys away one by one until none is left; then no instance may serve a request, whatever key it has.
func (sk *soak) takeAllKeys() {
	for len(sk.keyHolders) > 0 {
		sk.keyHolders = sk.keyHolders[1:]
		sk.configure()
		time.Sleep(convergenceTime)
	}
	for _, nd := range sk.fleet.live() {
		for at, key := range []string{"", "never", "key-" + organisationName(0), "key-" + organisationName(organisationCount-1)} {
			id := fmt.Sprintf("without-keys-%s-%d", nd.id, at)
			request := &gateway.Request{
				ID: id, Method: http.MethodPost, Host: "h", Path: "/lookup/" + id, APIKey: key, Arrived: time.Now(), CallerTimeout: requestTimeout,
			}
			outcome := sk.serve(context.Background(), nd, request)
			if _, is := outcome.(gateway.Unauthorised); !is {
				sk.violations = append(sk.violations, fmt.Sprintf("instance %s: outcome %s with the key %q while no organisation has one", nd.id, gateway.OutcomeName(outcome), key))
			}
		}
	}
}
