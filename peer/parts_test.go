package peer_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// listener records the parts that were blocked.
type listener struct {
	blocked []poison.Part
}

func (*listener) MembersChanged([]member.Change, int)    {}
func (*listener) UpstreamLeaving(gossip.LeavingUpstream) {}
func (*listener) DocumentFetched(document.Text)          {}
func (ls *listener) PartsBlocked(parts []poison.Part)    { ls.blocked = append(ls.blocked, parts...) }

// newPeer returns a peer without partners.
func newPeer(id string) (*peer.Peer, *hlc.Clock, *listener) {
	timers, heard := timer.New(), &listener{}
	clock := hlc.New(timers)
	self := member.Member{ID: id, Address: id}
	return peer.New(peer.Parts{
		Timers: timers, Clock: clock, Events: timeline.New(id, clock, 64, func(*wire.Event) {}), Holder: revision.New(nil), Listener: heard,
		Members: member.New(self, member.Config{Heartbeat: time.Second, Partners: 4}, entropy.New(1).Generator("member"), timers.Now()),
		Random:  entropy.New(1),
		Dialer:  func(string) (peer.Link, error) { return nil, errors.New("unreachable") },
	}, peer.Config{Heartbeat: time.Second}), clock, heard
}

// exchange sends a heartbeat from one peer to another and applies the reply.
func exchange(t *testing.T, from, to *peer.Peer) {
	t.Helper()
	reply, err := from.Exchange(t.Context(), &wire.Heartbeat{Sender: &wire.Member{Id: "x", Address: "x"}, Stamp: &wire.Stamp{}})
	must.NoError(t, err)
	_, err = to.Exchange(t.Context(), reply)
	must.NoError(t, err)
}

var bad = poison.PartOf("bad")

// crash reports crashes of upstreams by the part, 100 ms after one another.
func crash(pr *peer.Peer, first, count int) {
	for at := range count {
		time.Sleep(100 * time.Millisecond)
		pr.ReportPartCrash(uint64(first+at), []poison.Part{bad})
	}
}

func status(pr *peer.Peer) poison.Status {
	found, _ := pr.PartStatus([]poison.Part{bad})
	return found
}

// TestCrashWhileTheClockStands guards against crashes that do not count since the clock of the fleet, which another
// instance's clock had set ahead, still shows the time of an earlier success.
func TestCrashWhileTheClockStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr, clock, _ := newPeer("a")
		clock.Observe(hlc.Timestamp{WallMicros: time.Now().Add(time.Second).UnixMicro()})
		pr.ReportPartCrash(1, []poison.Part{bad})
		pr.ReportPartsSuccess([]poison.Part{bad})
		crash(pr, 2, 1)
		time.Sleep(time.Second)
		crash(pr, 3, 4)
		must.Eq(t, poison.Blocked, status(pr))
	})
}

// TestInstanceThatMissedTheSuccess guards against a block that lives on, and comes back, through an instance that was cut off
// while an answer lifted it.
func TestInstanceThatMissedTheSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _, _ := newPeer("a")
		second, _, heard := newPeer("b")
		first.ReportPartsSuccess([]poison.Part{poison.PartOf("elsewhere")})
		crash(first, 1, 3)
		exchange(t, first, second)
		must.Eq(t, []poison.Part{bad}, heard.blocked, must.Sprint("blocks are in each heartbeat"))
		time.Sleep(time.Second)
		first.ReportPartsSuccess([]poison.Part{bad})
		for range 20 {
			// The news of the success is used up before the two meet again.
			_, err := first.Exchange(t.Context(), &wire.Heartbeat{Sender: &wire.Member{Id: "x", Address: "x"}, Stamp: &wire.Stamp{}})
			must.NoError(t, err)
		}
		must.Eq(t, poison.Blocked, status(second))
		exchange(t, second, first)
		must.Eq(t, poison.Clear, status(first))
		exchange(t, first, second)
		must.Eq(t, poison.Clear, status(second))
	})
}
