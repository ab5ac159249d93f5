package propertytest

import (
	"context"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/tableservice"
)

// fakeListing is the platform's instance list, which shows what was so a while ago.
type fakeListing struct {
	mu      sync.Mutex
	lag     time.Duration
	entries []listedAt
}

type listedAt struct {
	tableservice.ListedInstance
	at time.Time
}

func (fl *fakeListing) setLag(lag time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.lag = lag
}

func (fl *fakeListing) leave(name string, incarnation int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.entries = append(fl.entries, listedAt{tableservice.ListedInstance{Name: name, Incarnation: incarnation, Leaving: true}, time.Now()})
}

func (fl *fakeListing) Instances(context.Context) ([]tableservice.ListedInstance, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []tableservice.ListedInstance{}
	for _, one := range fl.entries {
		if time.Since(one.at) >= fl.lag {
			list = append(list, one.ListedInstance)
		}
	}
	return list, nil
}
