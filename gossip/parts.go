package gossip

import "github.com/turmericdoor/turmericdoor/poison"

const (
	// maxPartNews bounds the waiting crashes and the waiting successes of parts, and maxPartNewsPerMessage those in
	// one message.
	maxPartNews           = 1024
	maxPartNewsPerMessage = 128
)

// PartNews holds the news about parts of prompts that a message carries.
type PartNews struct {
	Crashes   []poison.Crash
	Successes []poison.Success
}

// partItem is a piece of news; urgent news stays if there is no room for all.
type partItem[T any] struct {
	news          T
	urgent        bool
	transmitsLeft int
}

// partQueue holds the news of one kind that is still to be sent, the oldest first.
type partQueue[T any] struct {
	items []*partItem[T]
}

// add adds news. If the queue is full, the oldest item that is not urgent is dropped, or else the oldest.
func (qu *partQueue[T]) add(news T, urgent bool) {
	if len(qu.items) >= maxPartNews {
		victim := 0
		for at, item := range qu.items {
			if !item.urgent {
				victim = at
				break
			}
		}
		qu.items = append(qu.items[:victim], qu.items[victim+1:]...)
	}
	qu.items = append(qu.items, &partItem[T]{news: news, urgent: urgent, transmitsLeft: transmitLimit})
}

// take returns the news for the next message, urgent news first, and drops what was sent often enough.
func (qu *partQueue[T]) take() []T {
	list := []T{}
	for _, urgent := range []bool{true, false} {
		for _, item := range qu.items {
			if item.urgent == urgent && len(list) < maxPartNewsPerMessage {
				item.transmitsLeft--
				list = append(list, item.news)
			}
		}
	}
	kept := qu.items[:0]
	for _, item := range qu.items {
		if item.transmitsLeft > 0 {
			kept = append(kept, item)
		}
	}
	clear(qu.items[len(kept):])
	qu.items = kept
	return list
}

// AddPartCrash adds a crash that was news to this instance; urgent is set if one of its parts has an earlier one.
func (st *State) AddPartCrash(crash poison.Crash, urgent bool) {
	st.partCrashes.add(crash, urgent)
}

// AddPartSuccess adds a success that cleared a part on this instance.
func (st *State) AddPartSuccess(success poison.Success) {
	st.partSuccesses.add(success, true)
}

// TakePartNews returns the news about parts for the next message and uses up one transmission of each.
func (st *State) TakePartNews() PartNews {
	return PartNews{Crashes: st.partCrashes.take(), Successes: st.partSuccesses.take()}
}
