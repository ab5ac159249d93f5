package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/poison"
)

const (
	prefixHeader = "Turmericdoor-Prompt-Prefix"
	// badPart crashes the upstreams that begin to answer it, firstPart is shared by all requests.
	badPart   = "bad"
	firstPart = "first"
	// crashLength is how long a crashed upstream is away, badInterval the time between two requests with badPart.
	crashLength = 700 * time.Millisecond
	badInterval = 150 * time.Millisecond
	// crashesUntilBound is the number of crashes after which, newsBound later, no more than maxLateArrivals requests with the
	// part may reach upstreams from instances that were not disturbed for newsBound.
	crashesUntilBound = 5
	newsBound         = 3 * time.Second
	maxLateArrivals   = 3
)

// arrival is when an instance's request reached an upstream.
type arrival struct {
	at       time.Time
	instance int
	// undisturbed reports that the instance's process ran for newsBound before.
	undisturbed bool
}

// prefix returns the parts of the call's prompt.
func (cl call) prefix() string {
	middle := fmt.Sprint("session-", len(cl.id)%3)
	if cl.bad {
		middle = badPart
	}
	return fmt.Sprintf("%s:300,%s:200,own-%s:100", firstPart, middle, cl.id)
}

// badID is the beginning of the ids of requests with badPart; the number of the instance follows.
const badID = "bad-"

// sendBadParts sends requests that are all different but for one part, which crashes upstreams, until ctx ends.
func (fl *fleet) sendBadParts(ctx context.Context) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for at := 0; ctx.Err() == nil; at++ {
		cl := call{id: fmt.Sprintf("%s%d-%d", badID, at%instances, at), kind: "resume", instance: at % instances, bad: true}
		go fl.sendBad(client, cl)
		time.Sleep(badInterval)
	}
}

func (fl *fleet) sendBad(client *http.Client, cl call) {
	request, err := fl.newRequest(cl)
	if err != nil {
		fl.ledger.violation("create request %s: %v", cl.id, err)
		return
	}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// crashesOn crashes the upstream if a shared part of the request's prompt is badPart.
func (us *upstream) crashesOn(request *http.Request, id string) bool {
	parts := strings.Split(request.Header.Get(prefixHeader), ",")
	if !strings.Contains(strings.Join(parts[:len(parts)-1], ","), badPart+":") {
		return false
	}
	number, _, _ := strings.Cut(strings.TrimPrefix(id, badID), "-")
	instance, _ := strconv.Atoi(number)
	us.ledger.recordCrash(instance)
	us.born.Add(1)
	us.crash()
	return true
}

// recordCrash records a request with badPart and the crash of the upstream that it reached.
func (lg *ledger) recordCrash(instance int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	now := time.Now()
	lg.crashes = append(lg.crashes, now)
	lg.crashers = append(lg.crashers, arrival{at: now, instance: instance, undisturbed: lg.isUndisturbed(instance)})
}

// checkBadParts checks that requests with badPart no longer reach upstreams once its crashes are known, and that the part
// which all requests share is not blocked for them.
func (fl *fleet) checkBadParts() {
	fl.ledger.mu.Lock()
	late := 0
	for _, each := range fl.ledger.crashers {
		if len(fl.ledger.crashes) >= crashesUntilBound && each.undisturbed && each.at.After(fl.ledger.crashes[crashesUntilBound-1].Add(newsBound)) {
			late++
		}
	}
	fl.ledger.mu.Unlock()
	if late > maxLateArrivals {
		fl.ledger.violation("%d requests with a part that crashes upstreams reached them after its crashes", late)
	}
	if fl.blockedBy(firstPart) > 0 {
		fl.ledger.violation("%d instances blocked the part that all requests share", fl.blockedBy(firstPart))
	}
	if fl.blockedBy(badPart) == 0 {
		fl.ledger.violation("no instance blocked the part that crashes upstreams")
	}
}

// blockedBy returns how many instances logged that they blocked a part.
func (fl *fleet) blockedBy(part string) int {
	count, name := 0, "part="+poison.PartOf(part).String()
	for _, path := range fl.settings {
		content, err := os.ReadFile(path + ".log")
		if err != nil {
			fl.ledger.violation("read the log of an instance: %v", err)
		}
		isBlock := func(line string) bool {
			return strings.Contains(line, "msg=PartBlocked ") && strings.Contains(line, name)
		}
		if slices.ContainsFunc(strings.Split(string(content), "\n"), isBlock) {
			count++
		}
	}
	return count
}
