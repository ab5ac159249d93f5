package propertytest

import (
	"context"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/tableservice"
)

// fakeListing is the platform's instance list; it shows each entry only lag after it was added.
type fakeListing struct {
	mu      sync.Mutex
	lag     time.Duration
	entries []listedEntry
}

type listedEntry struct {
	tableservice.ListedInstance
	at time.Time
}

func (fl *fakeListing) setLag(lag time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.lag = lag
}

func (fl *fakeListing) addLeaving(name string, incarnation int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.entries = append(fl.entries, listedEntry{tableservice.ListedInstance{Name: name, Incarnation: incarnation, Leaving: true}, time.Now()})
}

func (fl *fakeListing) Instances(context.Context) ([]tableservice.ListedInstance, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []tableservice.ListedInstance{}
	for _, entry := range fl.entries {
		if time.Since(entry.at) >= fl.lag {
			list = append(list, entry.ListedInstance)
		}
	}
	return list, nil
}
