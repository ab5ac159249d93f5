package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/requestbody"
)

const (
	// One of laterFaultShare steps, on average, cuts the instances that read the store off from it, or stops an instance as planned.
	laterFaultShare = 120
	// readsWithin is how lately an instance has called the store that counts as reading it now.
	readsWithin = time.Second
	// stopNotice is how long a stopping instance serves as before, and stopTime how long until its requests are cancelled.
	stopNotice = 2500 * time.Millisecond
	stopTime   = 7600 * time.Millisecond
	// lateInterval is the pause between two requests that come while an instance stops.
	lateInterval = 150 * time.Millisecond
)

// startLaterFault cuts off the readers of the store or stops an instance; its random numbers are its own, so that those of the other
// faults stay as they are.
func (sk *soak) startLaterFault() {
	if sk.laterRandom == nil {
		sk.laterRandom = sk.fleet.random.Fork("later")
	}
	if sk.laterRandom.IntN(laterFaultShare) > 0 || sk.copied.Load() {
		return
	}
	for _, fault := range sk.activeFaults {
		if strings.HasPrefix(fault.name, "Store") || strings.HasPrefix(fault.name, "Insta") {
			return
		}
	}
	if sk.laterRandom.IntN(2) == 0 {
		sk.start("StoreReadersCut", sk.cutReaders())
		return
	}
	sk.start("InstanceStops", sk.stopInstance())
}

// start adds a fault that lasts for some seconds.
func (sk *soak) start(name string, end func()) {
	sk.faults[name]++
	sk.activeFaults = append(sk.activeFaults, &activeFault{name: name, steps: 60 + sk.laterRandom.IntN(120), end: end})
}

// cutReaders makes the store fail for just those instances that read it.
func (sk *soak) cutReaders() func() {
	way := sk.laterRandom.IntN(3)
	set := func(nd *node, isCut bool) {
		switch way {
		case 0:
			nd.storeHangs.Store(isCut)
		case 1:
			nd.storeUnreachable.Store(isCut)
		case 2:
			nd.storeDelay.Store(0)
			if isCut {
				nd.storeDelay.Store(int64(slowAnswer))
			}
		}
	}
	chosen := []*node{}
	nodes := sk.fleet.live()
	for _, nd := range nodes {
		if nd.hasCalledStore(readsWithin) && len(chosen) < len(nodes)/2 {
			chosen = append(chosen, nd)
			set(nd, true)
		}
	}
	return func() {
		for _, nd := range chosen {
			set(nd, false)
		}
	}
}

// stopInstance stops an instance as planned, with requests that come until its end, and starts it again. It ends by itself.
func (sk *soak) stopInstance() func() {
	nd, holder := sk.randomNode(), sk.keyHolders[0]
	nd.isStopping.Store(true)
	sk.group.Go(func() {
		began := time.Now()
		nd.entry.StartDraining()
		if !sk.variant.passesOnLate {
			nd.entry.EndRequestsBy(began.Add(stopNotice), began.Add(stopTime))
		}
		for number := 0; time.Since(began) < stopTime; number++ {
			time.Sleep(lateInterval)
			if time.Since(began) >= stopNotice && nd.endsAt.Load() == 0 {
				nd.endsAt.Store(began.Add(stopTime).UnixNano())
			}
			sk.sendLate(nd, holder, fmt.Sprint("late-", nd.id, "-", began.UnixNano(), "-", number))
		}
		nd.entry.CancelRequests()
		time.Sleep(lateInterval)
		sk.fleet.kill(nd)
		sk.fleet.restart(nd, sk.variant)
	})
	return func() {}
}

// sendLate sends a request to an instance that stops.
func (sk *soak) sendLate(nd *node, holder, id string) {
	request := &gateway.Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/once/" + id, APIKey: "key-" + holder, Body: requestbody.Of([]byte("body")),
		Arrived: time.Now(), CallerTimeout: requestTimeout,
	}
	sk.group.Go(func() { sk.serve(context.Background(), nd, request) })
}

// checkLate checks that a request which may outlast a stopping instance has not been passed on. The caller holds the lock.
func (sk *soak) checkLate(nd *node, request *gateway.Request, outcome gateway.Outcome) {
	endsAt := nd.endsAt.Load()
	if endsAt == 0 || request.EndBy.IsZero() && !sk.variant.passesOnLate {
		return
	}
	end := time.Unix(0, endsAt)
	if request.Arrived.Before(end.Add(stopNotice-stopTime)) || !request.Arrived.Add(requestTimeout).After(end) {
		return
	}
	switch outcome.(type) {
	case gateway.Refused, gateway.Unauthorised, gateway.NotFound:
	default:
		sk.violations = append(sk.violations, fmt.Sprintf("request %s, late in a stop, was passed on: %s", request.ID, gateway.OutcomeName(outcome)))
	}
}
