package soak_test

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// evacuateBound is how long after an evacuation was written an upstream of its failure domain may receive calls.
	evacuateBound = 5 * time.Second
	// evacuatedFor is how long an evacuation lasts at least, and evacuatedMore the most that it lasts longer.
	evacuatedFor  = 5500 * time.Millisecond
	evacuatedMore = time.Second
	// disturbedWithin is how lately an instance was disturbed that counts as being restarted now.
	disturbedWithin = 200 * time.Millisecond
)

// evacuate evacuates one failure domain after the other, from about a second after the beginning of a run. One evacuation in two is written
// while an instance is cut off from the store, the others while one is restarted, if that happens soon.
func (fl *fleet) evacuate(ctx context.Context, seed uint64) {
	random := seededRandom(seed, "evacuation")
	for ctx.Err() == nil {
		domain, px, isCut := random.IntN(2), fl.storePaths[random.IntN(instances)], random.IntN(2) == 0
		sleepFor(ctx, time.Duration(500+random.IntN(500))*time.Millisecond)
		if isCut {
			px.dropRequests.Store(true)
			px.dropResponses.Store(true)
		}
		for end := time.Now().Add(500 * time.Millisecond); !isCut && !fl.isRestarting() && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		fl.setEvacuated(domain, true)
		sleepFor(ctx, readersCut)
		if isCut {
			px.heal()
			px.reset()
		}
		sleepFor(ctx, evacuatedFor-readersCut+time.Duration(random.Int64N(int64(evacuatedMore))))
		fl.setEvacuated(domain, false)
	}
}

// isRestarting reports whether an instance has just been disturbed.
func (fl *fleet) isRestarting() bool {
	for at := range instances {
		if time.Since(fl.lastFault(at)) < disturbedWithin {
			return true
		}
	}
	return false
}

// setEvacuated writes or removes the evacuation of a failure domain. It is in force for the upstreams' checks from after it was written
// until before it is removed.
func (fl *fleet) setEvacuated(domain int, is bool) {
	if !is {
		fl.ledger.setEvacuated(domain, time.Time{})
	}
	fl.writeEvacuation(domain, is)
	if is {
		fl.ledger.setEvacuated(domain, time.Now())
	}
}

func (fl *fleet) writeEvacuation(domain int, is bool) {
	value := ""
	if is {
		value = `{}`
	}
	fl.store.Put("op", fmt.Sprintf("evacuate/z%d", domain), value)
}

// writeEvacuationsAgain writes the evacuations that are in force into a store that came back from an older copy, and removes the others.
func (fl *fleet) writeEvacuationsAgain() {
	for domain := range 2 {
		fl.writeEvacuation(domain, !fl.ledger.evacuatedAt(domain).IsZero())
	}
}

func (lg *ledger) setEvacuated(domain int, since time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.evacuated[domain] = since
}

// evacuatedAt returns when the evacuation of a failure domain was written, or zero if it is not in force.
func (lg *ledger) evacuatedAt(domain int) time.Time {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.evacuated[domain]
}

func (lg *ledger) recordLateEvacuated() {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.lateEvacuated++
}

// checkEvacuated checks that a call of any kind that reached an upstream of an evacuated failure domain after the bound does not come from
// an instance without a recent fault.
func (us *upstream) checkEvacuated(request *http.Request) {
	since := us.ledger.evacuatedAt(us.domain)
	if since.IsZero() || time.Since(since) <= evacuateBound {
		return
	}
	us.ledger.recordLateEvacuated()
	if instance, known := us.senderOf(request.RemoteAddr); known && us.ledger.isUndisturbed(instance) {
		us.ledger.violation("a call %s reached an upstream of an evacuated failure domain: %s", request.URL.Path,
			fmt.Sprintf("instance %d, attempt %q, at %s, %v after it was written", instance, request.Header.Get("Turmericdoor-Attempt-Id"), us.id, time.Since(since)))
	}
}

// instanceAt returns the instance whose process holds the socket with a local address. Calls of the upstreams' own interface do not name
// their sender.
func (fl *fleet) instanceAt(address string) (int, bool) {
	inode := socketInode(address)
	if inode == "" {
		return 0, false
	}
	for at := range instances {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", fl.process(at).Process.Pid))
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return at, true
			}
		}
	}
	return 0, false
}

// socketInode returns the inode of the TCP socket with a local address, or "".
func socketInode(address string) string {
	parsed, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return ""
	}
	ip := binary.NativeEndian.AppendUint32(nil, binary.BigEndian.Uint32(parsed.IP.To4()))
	local := strings.ToUpper(hex.EncodeToString(ip)) + fmt.Sprintf(":%04X", parsed.Port)
	content, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(content)) {
		// The fields are the slot, the local address, the remote one, the state, and after five others the inode.
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}
