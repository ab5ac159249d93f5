package storereader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/storereader"
)

const (
	table     = "t"
	bound     = 2 * time.Second
	step      = 10 * time.Millisecond
	newsDelay = 50 * time.Millisecond
	// callSlack is how much longer than its wait a call lasts that gets no answer.
	callSlack = 600 * time.Millisecond
)

// reader is an instance of a run, and what it knows of the table.
type reader struct {
	id        string
	rotation  *storereader.Rotation
	confirmed time.Time
	// ends is when its turn ends, or zero.
	ends time.Time
	// isCut is set while the store does not answer it, or refuses its calls at once; lastCall is when it last began a call.
	isCut     bool
	isRefused bool
	lastCall  time.Time
	calls     int
}

// news is what one instance lets the others know.
type news struct {
	at      time.Time
	arrives time.Time
	ended   storereader.Ended
}

// run plays a fleet in which each confirmation reaches all instances after newsDelay.
type run struct {
	now     time.Time
	readers []*reader
	live    []member.Member
	sent    []news
	// stalest is the greatest staleness of an instance that is not cut off.
	stalest time.Duration
}

func newRun(size int) *run {
	rn := &run{now: time.Unix(1000, 0)}
	for number := range size {
		id := fmt.Sprint("i", number)
		rn.live = append(rn.live, member.Member{ID: id})
		rn.readers = append(rn.readers, &reader{id: id, rotation: storereader.New(id, bound, table), confirmed: rn.now})
	}
	rn.readers[0].rotation.Begin(table)
	rn.readers[0].rotation.Confirm(table, rn.now)
	for _, rd := range rn.readers[1:] {
		rd.learn(news{at: rn.now, ended: rn.readers[0].rotation.Ended()})
	}
	return rn
}

// play runs the fleet for a time.
func (rn *run) play(length time.Duration) {
	for end := rn.now.Add(length); rn.now.Before(end); rn.now = rn.now.Add(step) {
		kept := []news{}
		for _, each := range rn.sent {
			if each.arrives.After(rn.now) {
				kept = append(kept, each)
				continue
			}
			for _, rd := range rn.readers {
				rd.learn(each)
			}
		}
		rn.sent = kept
		for _, rd := range rn.readers {
			rn.act(rd)
			if !rd.isCut {
				rn.stalest = max(rn.stalest, rn.now.Sub(rd.confirmed))
			}
		}
	}
}

func (rd *reader) learn(each news) {
	if each.at.After(rd.confirmed) {
		rd.confirmed = each.at
		rd.rotation.Learn(table, each.at)
	}
	rd.rotation.LearnEnded(each.ended)
}

// tell sends what an instance knows to all.
func (rn *run) tell(rd *reader) {
	rn.sent = append(rn.sent, news{at: rd.confirmed, arrives: rn.now.Add(newsDelay), ended: rd.rotation.Ended()})
}

// act ends the turn of an instance or begins its next one.
func (rn *run) act(rd *reader) {
	switch {
	case rd.ends.After(rn.now):
		return
	case !rd.ends.IsZero() && rd.isCut:
		if rd.rotation.Fail(rn.now, table) {
			rn.tell(rd)
		}
	case !rd.ends.IsZero():
		rd.confirmed = rn.now
		rd.rotation.Confirm(table, rn.now)
		rn.tell(rd)
	}
	rd.ends = time.Time{}
	next := rd.rotation.Next(rn.now, table, rn.now.Sub(rd.confirmed), rn.live)
	if next.Delay > 0 {
		return
	}
	rd.rotation.Begin(table)
	rd.calls++
	rd.lastCall = rn.now
	rd.ends = rn.now.Add(max(next.Wait, step))
	switch {
	case rd.isCut && rd.isRefused:
		rd.ends = rn.now.Add(step)
	case rd.isCut:
		rd.ends = rn.now.Add(next.Wait + callSlack)
	}
}

// calls returns the number of calls of all instances.
func (rn *run) calls() int {
	sum := 0
	for _, rd := range rn.readers {
		sum += rd.calls
	}
	return sum
}

// calmStaleness is the longest turn, that of an instance that has stood by, and the time until it is known.
const calmStaleness = bound*2/5*3/2 + 2*newsDelay

// maxCalls is how many calls five fixed readers make in 20 s that wait for changes for 2.5 s.
const maxCalls = 5 * 20 * 2 / 5

func TestRotation(t *testing.T) {
	for _, size := range []int{1, 2, 8, 77, 295} {
		t.Run(fmt.Sprintf("%d instances read about once in a turn, in turns", size), func(t *testing.T) {
			rn := newRun(size)
			rn.play(20 * time.Second)
			must.Between(t, 20, rn.calls(), maxCalls)
			must.LessEq(t, calmStaleness, rn.stalest)
			for _, rd := range rn.readers {
				must.LessEq(t, maxCalls/size+3, rd.calls, must.Sprint(rd.id))
			}
		})
	}
	t.Run("an instance that knows no others reads all the time", func(t *testing.T) {
		rotation := storereader.New("a", bound, table)
		must.Eq(t, time.Duration(0), rotation.Next(time.Now(), table, 0, nil).Delay)
	})
	t.Run("a turn of a long bound is short enough for all that rely on it", func(t *testing.T) {
		rotation := storereader.New("a", time.Minute, table)
		must.Eq(t, time.Second, rotation.Next(time.Now(), table, 0, nil).Wait)
	})
}

// TestReadersThatAreCutOff guards against instances that stay out of date for long when those that read the store can't any more.
func TestReadersThatAreCutOff(t *testing.T) {
	for _, each := range []struct {
		size      int
		isRefused bool
	}{{3, false}, {8, false}, {18, false}, {77, false}, {295, false}, {8, true}, {77, true}} {
		size, isRefused := each.size, each.isRefused
		t.Run(fmt.Sprintf("a third of %d instances, those that read last; refused at once: %t", size, isRefused), func(t *testing.T) {
			rn := newRun(size)
			rn.play(5 * time.Second)
			for range size / 3 {
				latest := rn.readers[0]
				for _, rd := range rn.readers {
					if !rd.isCut && (latest.isCut || rd.lastCall.After(latest.lastCall)) {
						latest = rd
					}
				}
				latest.isCut, latest.isRefused = true, isRefused
			}
			rn.play(8 * time.Second)
			must.LessEq(t, bound*3/4, rn.stalest)
		})
	}
	t.Run("a store that is away is not called by all, all the time", func(t *testing.T) {
		rn := newRun(77)
		rn.play(5 * time.Second)
		before := rn.calls()
		for _, rd := range rn.readers {
			rd.isCut = true
		}
		rn.play(10 * time.Second)

		must.LessEq(t, 77*5, rn.calls()-before)
	})
}
