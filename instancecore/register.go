package instancecore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmericdoor/turmericdoor/table"
)

// registration is the table row by which instances that start later find this instance if every seed in their
// settings has been replaced.
type registration struct {
	Address   string
	UnixMilli int64
}

const (
	// registrationPrefix is the key prefix of registrations in the table.
	registrationPrefix = "instance/"
	// registerInterval is how often a registration is renewed.
	registerInterval = time.Minute
	// registrationTTL is the age from which a registration is ignored.
	registrationTTL = 3 * time.Minute
	// registrationRetention is the age after which a registration is deleted.
	registrationRetention = time.Hour
	// pollsPerDiscovery is the number of platform polls from one read of the registrations to the next.
	pollsPerDiscovery = 12
	// maxDiscoveryHeartbeats is the most heartbeats sent to registered instances after one read.
	maxDiscoveryHeartbeats = 3
)

// register renews this instance's registration when it is due.
func (cr *Core) register(ctx context.Context) {
	now := cr.timers.Now()
	if now.Sub(cr.registeredAt) < registerInterval {
		return
	}
	own := cr.settings.GetInstance()
	encoded, _ := json.Marshal(registration{Address: own.GetPeerAddress(), UnixMilli: now.UnixMilli()})
	outcome := cr.store.Commit(ctx, table.Transaction{
		Writes: []table.Write{{Key: registrationPrefix + own.GetId(), Value: encoded}},
	})
	if _, committed := outcome.(table.Committed); committed {
		cr.registeredAt = now
	}
}

// discover reads the registrations and sends heartbeats to some of them. It runs at every poll while no other
// instance is known, and at every pollsPerDiscovery-th poll afterwards, so that a partitioned fleet merges again.
func (cr *Core) discover(ctx context.Context) {
	cr.polls++
	if cr.liveInstances.Load() > 1 && cr.polls%pollsPerDiscovery != 0 {
		return
	}
	rows, read := cr.store.List(ctx, registrationPrefix).(table.Rows)
	if !read {
		return
	}
	addresses := []string{}
	for _, row := range rows.Rows {
		entry := registration{}
		if json.Unmarshal(row.Value, &entry) != nil {
			continue
		}
		switch age := cr.timers.Now().Sub(time.UnixMilli(entry.UnixMilli)); {
		case age > registrationRetention:
			cr.deleteRegistration(ctx, row)
		case age < registrationTTL && entry.Address != cr.settings.GetInstance().GetPeerAddress():
			addresses = append(addresses, entry.Address)
		}
	}
	for range min(maxDiscoveryHeartbeats, len(addresses)) {
		cr.peer.SendHeartbeat(ctx, addresses[cr.random.IntN(len(addresses))], cr.liveInstances.Load() <= 1)
	}
}

// deleteRegistration deletes a registration row unless it has been renewed in the meantime.
func (cr *Core) deleteRegistration(ctx context.Context, row table.Row) {
	cr.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Delete: true}},
	})
}
