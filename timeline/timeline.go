package timeline

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Ring holds the latest events of one instance; recording takes no lock.
type Ring struct {
	instance string
	clock    *hlc.Clock
	log      func(*wire.Event)
	slots    []atomic.Pointer[wire.Event]
	next     atomic.Uint64
}

// New returns a ring of that many events; log, if set, is told each event as it is recorded.
func New(instance string, clock *hlc.Clock, size int64, log func(*wire.Event)) *Ring {
	return &Ring{instance: instance, clock: clock, log: log, slots: make([]atomic.Pointer[wire.Event], max(size, 1))}
}

// Record stamps an event and keeps it; the event belongs to the ring from then on.
func (rg *Ring) Record(event *wire.Event) {
	stamp := rg.clock.Now()
	event.Stamp = &wire.Stamp{WallMicros: stamp.WallMicros, Logical: stamp.Logical}
	event.Instance = rg.instance
	at := rg.next.Add(1) - 1
	rg.slots[at%uint64(len(rg.slots))].Store(event)
	if rg.log != nil {
		rg.log(event)
	}
}

// Overwritten returns how many events the ring no longer has.
func (rg *Ring) Overwritten() uint64 {
	recorded := rg.next.Load()
	return recorded - min(recorded, uint64(len(rg.slots)))
}

// Select returns the kept events that the request asks for, in order.
func (rg *Ring) Select(request *wire.FetchEventsRequest) []*wire.Event {
	chosen := []*wire.Event{}
	for at := range rg.slots {
		event := rg.slots[at].Load()
		if event != nil && Matches(event, request) {
			chosen = append(chosen, event)
		}
	}
	Sort(chosen)
	if limit := int(request.GetLimit()); limit > 0 && len(chosen) > limit {
		chosen = chosen[len(chosen)-limit:]
	}
	return chosen
}

// Matches reports whether an event is asked for; empty fields of the request ask for all.
func Matches(event *wire.Event, request *wire.FetchEventsRequest) bool {
	return fits(request.GetRequestId(), event.GetRequestId()) &&
		fits(request.GetUpstream(), event.GetUpstream()) &&
		fits(request.GetOrganisation(), event.GetOrganisation()) &&
		fits(request.GetKind(), KindName(event.GetKind())) &&
		event.GetStamp().GetWallMicros() >= request.GetFromMicros() &&
		(request.GetToMicros() == 0 || event.GetStamp().GetWallMicros() < request.GetToMicros())
}

func fits(wanted, value string) bool {
	return wanted == "" || wanted == value
}

// KindName returns the name of a kind as operators write it, such as RequestArrived.
func KindName(kind wire.EventKind) string {
	return strings.TrimPrefix(kind.String(), "Event")
}

// Sort orders events by their stamps, so that no effect stands before its cause.
func Sort(events []*wire.Event) {
	sort.SliceStable(events, func(left, right int) bool {
		first, second := stampOf(events[left]), stampOf(events[right])
		if first == second {
			return events[left].GetInstance() < events[right].GetInstance()
		}
		return first.Before(second)
	})
}

func stampOf(event *wire.Event) hlc.Timestamp {
	return hlc.Timestamp{WallMicros: event.GetStamp().GetWallMicros(), Logical: event.GetStamp().GetLogical()}
}

// Field is one named fact of an event.
type Field struct {
	Name  string
	Value string
}

// Fields returns the facts that an event states, leaving out empty ones.
func Fields(event *wire.Event) []Field {
	all := []Field{
		{"request", event.GetRequestId()},
		{"organisation", event.GetOrganisation()},
		{"rank", event.GetRank()},
		{"pipeline", event.GetPipeline()},
		{"stage", event.GetStage()},
		{"upstream", event.GetUpstream()},
		{"attempt", number(event.GetAttempt())},
		{"outcome", event.GetOutcome()},
		{"cause", event.GetCause()},
		{"detail", event.GetDetail()},
		{"micros", number(event.GetDurationMicros())},
		{"revision", number(event.GetRevision())},
	}
	return slices.DeleteFunc(all, func(pair Field) bool { return pair.Value == "" })
}

func number(value int64) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatInt(value, 10)
}
