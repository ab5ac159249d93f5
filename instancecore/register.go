package instancecore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmericdoor/turmericdoor/table"
)

// registration is the row by which instances that start later find this one, when the seeds of their
// settings have all been replaced.
type registration struct {
	Address   string
	UnixMilli int64
}

const (
	// registrationPrefix is where registrations lie in the table.
	registrationPrefix = "instance/"
	// registerInterval is how often a registration is renewed.
	registerInterval = time.Minute
	// registrationTTL is how long a registration that is not renewed is used.
	registrationTTL = 3 * time.Minute
	// registrationRetention is the age at which a registration is deleted.
	registrationRetention = time.Hour
	// pollsPerDiscovery is how many looks at the platform pass between two looks for instances.
	pollsPerDiscovery = 12
	// maxDiscoveryHeartbeats is how many instances are tried at one look.
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

// discover reads the registrations, always while no other instance is known and now and again later: two
// groups that know nothing of each other find together by it.
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
		known := registration{}
		if json.Unmarshal(row.Value, &known) != nil {
			continue
		}
		switch age := cr.timers.Now().Sub(time.UnixMilli(known.UnixMilli)); {
		case age > registrationRetention:
			cr.deleteRegistration(ctx, row)
		case age < registrationTTL && known.Address != cr.settings.GetInstance().GetPeerAddress():
			addresses = append(addresses, known.Address)
		}
	}
	for range min(maxDiscoveryHeartbeats, len(addresses)) {
		cr.peer.SendHeartbeat(ctx, addresses[cr.random.IntN(len(addresses))], cr.liveInstances.Load() <= 1)
	}
}

func (cr *Core) deleteRegistration(ctx context.Context, row table.Row) {
	cr.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Delete: true}},
	})
}
