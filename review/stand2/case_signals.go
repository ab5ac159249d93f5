package main

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["signals"] = playSignals }

const (
	// graceTime and contactTime are the bounds grace_s and contact_ms of the settings.
	graceTime   = 8 * time.Second
	contactTime = 3 * time.Second
	// freezeTime is how long a machine stands still; the site files freeze one for up to 4 s.
	freezeTime = 2500 * time.Millisecond
	// stopGap is the pause between the stops of two machines, and restartDelay that before a process is started again.
	stopGap      = 300 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// stopsUntil is when the last machine is stopped.
	stopsUntil = 92 * time.Second
)

// stop is a planned stop of a process: wokeAt is when it could act on its signals.
type stop struct {
	signalled, wokeAt time.Time
}

// playSignals stops the machines in turn, as planned work. While a machine is frozen, its settings file changes and it is
// sent SIGHUP and SIGTERM. Deposits that are sent later than contact_ms after it woke must not be cut off by its stop.
func playSignals(trouble bool) bool {
	st := newStore()
	routes := []map[string]any{plainRoute("deposit-post", "/bobo563/", "non_idempotent", 1)}
	st.put("op", "config", configuration(3, routes, []map[string]any{plainService}, []map[string]any{tenant("bozi300", "key-a")}))
	engines := newDepositEngines(st)
	fronts := newFronts(st, "z-a", "z-a", "z-a", "z-b", "z-b", "z-b", "z-c", "z-c")
	startAll(fronts, 2*time.Second)
	isQuiet.Store(true)
	senders := []*deposits{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, fr := range fronts {
		sender := &deposits{front: fr}
		senders = append(senders, sender)
		for range 2 {
			go sender.run(ctx)
		}
	}
	stopping := sync.WaitGroup{}
	for turn := 0; time.Since(world.began) < stopsUntil; turn++ {
		sender := senders[turn%len(senders)]
		if !sender.front.isReady() {
			time.Sleep(stopGap)
			continue
		}
		sender.signal(trouble)
		stopping.Go(sender.restart)
		time.Sleep(stopGap)
	}
	stopping.Wait()
	broken, stops := 0, 0
	for _, sender := range senders {
		stops += len(sender.stops)
		broken += sender.judge(engines)
	}
	note("%d stops; %d deposits were cut off by them", stops, broken)
	return broken > 0
}

// signal freezes the process and sends it its signals.
func (dp *deposits) signal(trouble bool) {
	process := dp.front.command.Process
	if trouble {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
	}
	text, err := os.ReadFile(dp.front.file)
	if err == nil {
		err = os.WriteFile(dp.front.file, append(text, '\n'), 0o600)
	}
	if err != nil {
		cannotRun("change the settings file: %v", err)
	}
	_ = process.Signal(syscall.SIGHUP)
	planned := stop{signalled: time.Now()}
	_ = process.Signal(syscall.SIGTERM)
	if trouble {
		_ = process.Signal(syscall.SIGCONT)
	} else {
		time.Sleep(freezeTime)
	}
	planned.wokeAt = time.Now()
	note("%s: settings changed, SIGHUP, SIGTERM; frozen before: %t", dp.front.name, trouble)
	dp.mu.Lock()
	dp.stops = append(dp.stops, planned)
	dp.mu.Unlock()
}

// restart kills the process after its grace period if it is still there, as the platform does, and starts it again.
func (dp *deposits) restart() {
	signalled := dp.stops[len(dp.stops)-1].signalled
	time.Sleep(time.Until(signalled.Add(4 * time.Second)))
	if !dp.front.hasGone.Load() && dp.front.isReady() {
		note("%s says that it is ready 4 s after SIGTERM", dp.front.name)
	}
	select {
	case <-dp.front.ended:
	case <-time.After(time.Until(signalled.Add(graceTime))):
		note("%s still runs grace_s after SIGTERM: SIGKILL", dp.front.name)
		_ = dp.front.command.Process.Kill()
		<-dp.front.ended
	}
	time.Sleep(restartDelay)
	dp.front.start()
}

// judge counts the deposits that a stop has cut off: sent later than contactTime after the machine woke, run by an engine, and without an answer.
func (dp *deposits) judge(engines []*engine) int {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	broken := 0
	for _, each := range dp.cut {
		for _, planned := range dp.stops {
			isWithin := each.sent.After(planned.wokeAt.Add(contactTime)) && each.ended.Before(planned.signalled.Add(graceTime+time.Second))
			if engine := ranAt(engines, each.id); isWithin && engine != "" {
				broken++
				note("broken: %s sent to %s %.3f s after SIGTERM ran at %s and was cut off %.3f s after SIGTERM: %s", each.id, dp.front.name,
					each.sent.Sub(planned.signalled).Seconds(), engine, each.ended.Sub(planned.signalled).Seconds(), each.why)
			}
		}
	}
	return broken
}
