package streamdirectory

import (
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// IsEnded reports whether an incarnation of an upstream has ended although it is registered; it takes no lock.
func (dr *Directory) IsEnded(incarnation roster.Incarnation) bool {
	return (*dr.ended.Load())[incarnation]
}

// ReportEnded announces to all instances that an incarnation of an upstream has ended.
func (dr *Directory) ReportEnded(incarnation roster.Incarnation) {
	if !dr.IsEnded(incarnation) && dr.addEnded([]roster.Incarnation{incarnation}) {
		dr.Fleet.TriggerHeartbeat()
	}
}

// EndedNews returns the ended incarnations for a heartbeat, all of them for a full exchange.
func (dr *Directory) EndedNews(full bool) []*wire.EndedUpstream {
	dr.endedMu.Lock()
	defer dr.endedMu.Unlock()
	ended := dr.stones.TakeNews()
	if full {
		ended = dr.stones.All()
	}
	list := []*wire.EndedUpstream{}
	for _, incarnation := range ended {
		list = append(list, &wire.EndedUpstream{Upstream: incarnation.ID, StartUnixMs: incarnation.StartUnixMs})
	}
	return list
}

// AddEndedNews adds the ended incarnations in a heartbeat.
func (dr *Directory) AddEndedNews(news []*wire.EndedUpstream) {
	list := []roster.Incarnation{}
	for _, item := range news {
		list = append(list, roster.Incarnation{ID: item.GetUpstream(), StartUnixMs: item.GetStartUnixMs()})
	}
	if len(list) > 0 && dr.addEnded(list) {
		dr.Fleet.TriggerHeartbeat()
	}
}

// addEnded adds incarnations and reports whether any was new.
func (dr *Directory) addEnded(list []roster.Incarnation) bool {
	added := []roster.Incarnation{}
	dr.endedMu.Lock()
	for _, incarnation := range list {
		if dr.stones.Add(dr.Timers.Now(), incarnation) {
			added = append(added, incarnation)
		}
	}
	if len(added) > 0 {
		dr.publishEnded()
	}
	dr.endedMu.Unlock()
	for _, incarnation := range added {
		dr.Events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamEnded, Upstream: incarnation.ID, Revision: incarnation.StartUnixMs})
	}
	return len(added) > 0
}

// publishEnded makes the ended incarnations visible; the caller holds the lock.
func (dr *Directory) publishEnded() {
	ended := map[roster.Incarnation]bool{}
	for _, incarnation := range dr.stones.All() {
		ended[incarnation] = true
	}
	dr.ended.Store(&ended)
}

// expireEnded forgets the incarnations whose registrations are gone by now.
func (dr *Directory) expireEnded() {
	dr.endedMu.Lock()
	defer dr.endedMu.Unlock()
	if len(dr.stones.All()) == 0 {
		return
	}
	dr.stones.Expire(dr.Timers.Now())
	dr.publishEnded()
}
