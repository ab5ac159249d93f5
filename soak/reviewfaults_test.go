package soak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploaders is the number of callers that send long bodies, uploadLimits the callers' limits that allow these.
	uploaders    = 2
	uploadLimits = `{"max_body_bytes":4000000,"idle_timeout_ms":30000}`
	// minPadding and maxPadding bound the length of a long body, in bytes.
	minPadding = 2_000_000
	maxPadding = 3_900_000
	// paddingHeader holds the length of what follows the text in a body.
	paddingHeader = "Soak-Padding"
	// One of earlyShare requests with a long body is answered before it is read, one of oddShare by a status that is none.
	earlyShare = 3
	oddShare   = 6
	// maxEarlyPause bounds the pause between an early answer and the reset of its connection.
	maxEarlyPause = 20 * time.Millisecond
	// maxStatus is the highest status.
	maxStatus = 599
	// In one of withoutKeyShare seeds the callers' key is taken away, too.
	withoutKeyShare = 3
	// keyGoneFor is how long the callers' key is taken away.
	keyGoneFor = 800 * time.Millisecond
	// maxFrozen bounds how long an instance is frozen that is stopped meanwhile.
	maxFrozen = 2600 * time.Millisecond
	// probeInterval is the pause between two requests with a key that may not be used.
	probeInterval = 50 * time.Millisecond
)

// sendUploads sends requests with long bodies until ctx ends.
func (fl *fleet) sendUploads(ctx context.Context, number int, counts *sync.Map) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	random := seededRandom(uint64(number), "uploads")
	for at := 0; ctx.Err() == nil; at++ {
		cl := newCall(number, at)
		cl.id, cl.padding = fmt.Sprintf("u%d-%d@%d", number, at, cl.instance), minPadding+random.IntN(maxPadding-minPadding)
		status := fl.send(client, cl)
		count, _ := counts.LoadOrStore(status, new(int))
		fl.mu.Lock()
		*count.(*int)++
		fl.mu.Unlock()
	}
}

// answerEarly answers some requests with long bodies before they are read, with the first events of a stream without a length, and
// resets their connection.
func (us *upstream) answerEarly(writer http.ResponseWriter, request *http.Request) bool {
	id := request.Header.Get("Turmericdoor-Attempt-Id")
	if request.Header.Get(paddingHeader) == "" || request.Header.Get("Turmericdoor-Expect-Instance") != us.id {
		return false
	}
	random := seededRandom(us.seed, fmt.Sprintf("early/%s/%s", us.id, id))
	if random.IntN(earlyShare) != 0 && us.id != directUpstream {
		return false
	}
	number := us.ledger.recordArrival(id)
	us.ledger.recordRun(id, routeKinds[routeName(request.URL.Path)].limit)
	us.ledger.recordPlayed(id, "early")
	stamp := fmt.Sprintf("%s.%d", us.id, number)
	text := response{id: id, seal: stamp, notices: http.Header{}}.head() + "Connection: close\r\n\r\n"
	if request.Header.Get("Last-Event-Id") == "" {
		text += strings.Join(eventTexts(id, stamp, 0)[:random.IntN(eventCount)], "")
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return true
	}
	_, _ = io.WriteString(connection, text)
	time.Sleep(time.Duration(random.Int64N(int64(maxEarlyPause))))
	resetConnection(connection)
	return true
}

// isOdd reports whether a request with a long body is answered by a status that is none.
func (us *upstream) isOdd(request *http.Request, id string, number int) bool {
	return request.Header.Get(paddingHeader) != "" && seededRandom(us.seed, fmt.Sprintf("odd/%s/%d", id, number)).IntN(oddShare) == 0
}

// oddStatuses are statuses that are none.
var oddStatuses = []string{"000", "001", "020", "099", "101", "-00", "+20", "600", "999"}

// writeOddStatus writes a whole answer but for its status, which is none.
func writeOddStatus(writer http.ResponseWriter, answer response) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	body := strings.Join(answer.events, "")
	head := strings.Replace(answer.head(), " 200 OK", " "+oddStatuses[answer.random.IntN(len(oddStatuses))]+" Odd", 1)
	_, _ = fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// setKeys writes a configuration in which the organisation of all callers has the given keys.
func (fl *fleet) setKeys(keys ...string) {
	quoted := []string{}
	for _, key := range keys {
		quoted = append(quoted, fmt.Sprintf("%q", key))
	}
	fl.mu.Lock()
	fl.tenants = fmt.Sprintf(`"tenants":[{"name":"guild","api_keys":[%s]},{"name":"other","api_keys":[]}],`, strings.Join(quoted, ","))
	fl.mu.Unlock()
	fl.putConfiguration()
}

// takeKeysAway takes the organisation's keys away one by one. In some seeds none is left for a moment, again and again: then the callers' key is
// taken away, too, and given back after keyGoneFor.
func (fl *fleet) takeKeysAway(ctx context.Context, seed uint64) {
	random := seededRandom(seed, "keys")
	pause := func() { sleepFor(ctx, time.Duration(100+random.IntN(300))*time.Millisecond) }
	fl.setKeys("k", "dropped-1", "dropped-2")
	pause()
	fl.setKeys("k", "dropped-2")
	pause()
	fl.setKeys("k")
	if seed%withoutKeyShare != 1 {
		return
	}
	for ctx.Err() == nil {
		pause()
		fl.ledger.setKeyGone(true)
		fl.setKeys()
		sleepFor(ctx, keyGoneFor)
		fl.setKeys("k")
		fl.ledger.setKeyGone(false)
		sleepFor(ctx, appliedWithin)
	}
}

func (lg *ledger) setKeyGone(gone bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.keyGone = gone
	lg.keyBack = time.Now()
}

// mayLackKey reports whether an instance may refuse the callers' key: it is gone, or has been given back lately, or the instance had a fault
// since it was last gone.
func (lg *ledger) mayLackKey(instance int) bool {
	lg.mu.Lock()
	gone, back := lg.keyGone, lg.keyBack
	lg.mu.Unlock()
	if back.IsZero() {
		return false
	}
	return gone || time.Since(back) < appliedWithin || !lg.isUndisturbed(instance)
}

// tryKeys sends requests with a key that was dropped or never held, or with none, to each instance in turn; an instance that knows a
// configuration must not pass on those that it may not run, also while no key is left.
func (fl *fleet) tryKeys(ctx context.Context) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		sleepFor(ctx, probeInterval)
		cl := call{kind: "look", instance: number % instances}
		cl.id = fmt.Sprintf("k%d@%d", number, cl.instance)
		request, err := fl.newRequest(cl)
		if err != nil {
			continue
		}
		key := []string{"never", "dropped-1", "dropped-2", ""}[number/instances%4]
		request.Header.Set("Authorization", "Token "+key)
		isDropped := strings.HasPrefix(key, "dropped")
		if isDropped && (time.Since(fl.ledger.began) < appliedWithin+time.Second || !fl.isUndisturbed(cl.instance)) {
			continue
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		fl.ledger.mu.Lock()
		fl.ledger.keyProbes++
		arrivals := fl.ledger.arrivals[cl.id]
		fl.ledger.mu.Unlock()
		if arrivals > 0 && (!isDropped || fl.isUndisturbed(cl.instance)) {
			fl.ledger.violation("a request ran with a key that may not be used: %s with %q", cl.id, key)
		}
	}
}

// stopFrozen freezes instances, changes their settings file and sends them SIGHUP and SIGTERM meanwhile; each must end in its grace period.
func (fl *fleet) stopFrozen(ctx context.Context, seed uint64) {
	random := seededRandom(seed, "frozen")
	for ctx.Err() == nil {
		sleepFor(ctx, time.Duration(500+random.IntN(1500))*time.Millisecond)
		at, frozen := random.IntN(instances), time.Duration(random.Int64N(int64(maxFrozen)))
		list := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}
		for range random.IntN(3) {
			list = append(list, syscall.SIGHUP)
		}
		random.Shuffle(len(list), func(left, right int) { list[left], list[right] = list[right], list[left] })
		if ctx.Err() == nil {
			fl.stopWhileFrozen(at, frozen, list)
		}
	}
}

// stopWhileFrozen freezes an instance for a time, sends it signals before it wakes and starts it again after its end.
func (fl *fleet) stopWhileFrozen(at int, frozen time.Duration, list []syscall.Signal) {
	fl.restarting[at].Lock()
	defer fl.restarting[at].Unlock()
	command := fl.process(at)
	fl.disturb(at)
	defer fl.disturb(at)
	_ = command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(frozen)
	fl.changeSettings(at)
	fl.setStopping(at, time.Now())
	defer fl.setStopping(at, time.Time{})
	for _, each := range append(list, syscall.SIGCONT) {
		_ = command.Process.Signal(each)
	}
	if !endsWithin(command, stopGrace+2*endSlack) {
		fl.ledger.violation("instance %d did not end after %v while it was frozen for %v", at, list, frozen)
	}
	fl.ledger.mu.Lock()
	fl.ledger.frozenStops++
	fl.ledger.mu.Unlock()
	fl.start(at)
}

// endsWithin waits for the end of a process, which it kills after a time; it reports whether the process ended by itself.
func endsWithin(command *exec.Cmd, within time.Duration) bool {
	late := make(chan struct{})
	killer := time.AfterFunc(within, func() { defer close(late); _ = command.Process.Kill() })
	_ = command.Wait()
	if killer.Stop() {
		return true
	}
	<-late
	return false
}
