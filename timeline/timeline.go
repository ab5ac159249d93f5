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

// Ring is a ring buffer of the latest events of one instance; it is safe for concurrent use and takes no lock.
type Ring struct {
	instance string
	clock    *hlc.Clock
	log      func(*wire.Event)
	slots    []atomic.Pointer[wire.Event]
	next     atomic.Uint64
}

// New returns a ring of size events; log, if not nil, is called with each recorded event.
func New(instance string, clock *hlc.Clock, size int64, log func(*wire.Event)) *Ring {
	return &Ring{instance: instance, clock: clock, log: log, slots: make([]atomic.Pointer[wire.Event], max(size, 1))}
}

// Record sets the stamp and the instance of an event and stores it; the caller must not change the event afterwards.
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

// Overwritten returns the number of events that newer ones have replaced.
func (rg *Ring) Overwritten() uint64 {
	recorded := rg.next.Load()
	return recorded - min(recorded, uint64(len(rg.slots)))
}

// Select returns the stored events that match the request in the order of Sort; Limit keeps the latest ones.
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

// Matches reports whether an event matches all fields of the request; an empty field matches every event.
func Matches(event *wire.Event, request *wire.FetchEventsRequest) bool {
	return matchesField(request.GetRequestId(), event.GetRequestId()) &&
		matchesField(request.GetUpstream(), event.GetUpstream()) &&
		matchesField(request.GetOrganisation(), event.GetOrganisation()) &&
		matchesField(request.GetKind(), KindName(event.GetKind())) &&
		event.GetStamp().GetWallMicros() >= request.GetFromMicros() &&
		(request.GetToMicros() == 0 || event.GetStamp().GetWallMicros() < request.GetToMicros())
}

func matchesField(wanted, value string) bool {
	return wanted == "" || wanted == value
}

// KindName returns the name of a kind in the log and in operators' queries, such as RequestArrived.
func KindName(kind wire.EventKind) string {
	return strings.TrimPrefix(kind.String(), "Event")
}

// Sort sorts events by their stamps, so that a cause precedes its effects.
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

// Field is a name and a value of an event in the log.
type Field struct {
	Name  string
	Value string
}

// Fields returns the non-empty fields of an event.
func Fields(event *wire.Event) []Field {
	all := []Field{
		{"request", event.GetRequestId()},
		{"organisation", event.GetOrganisation()},
		{"rank", event.GetRank()},
		{"pipeline", event.GetPipeline()},
		{"stage", event.GetStage()},
		{"upstream", event.GetUpstream()},
		{"attempt", formatNonZero(event.GetAttempt())},
		{"outcome", event.GetOutcome()},
		{"cause", event.GetCause()},
		{"detail", event.GetDetail()},
		{"micros", formatNonZero(event.GetDurationMicros())},
		{"revision", formatNonZero(event.GetRevision())},
	}
	return slices.DeleteFunc(all, func(pair Field) bool { return pair.Value == "" })
}

func formatNonZero(value int64) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatInt(value, 10)
}
