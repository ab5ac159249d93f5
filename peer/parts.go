package peer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// PartStatus returns the worst status of the parts, and the part that has it; it takes no lock.
func (pr *Peer) PartStatus(parts []poison.Part) (poison.Status, poison.Part) {
	statuses := *pr.partStatuses.Load()
	worst, of := poison.Clear, poison.Part(0)
	if len(statuses) == 0 {
		return worst, of
	}
	for _, part := range parts {
		if status := statuses[part]; status > worst {
			worst, of = status, part
		}
	}
	return worst, of
}

// BlockedParts returns the number of blocked parts.
func (pr *Peer) BlockedParts() int {
	count := 0
	for _, status := range *pr.partStatuses.Load() {
		if status == poison.Blocked {
			count++
		}
	}
	return count
}

// ReportPartCrash announces to all instances that a request with the parts was lost when an upstream crashed.
func (pr *Peer) ReportPartCrash(upstream uint64, parts []poison.Part) {
	parts = parts[:min(len(parts), poison.MaxParts)]
	pr.mu.Lock()
	crash := poison.Crash{Upstream: upstream, Parts: parts, Succeeded: pr.parts.SucceededBits(parts), At: pr.Time()}
	fresh := pr.parts.ReportCrash(pr.Time(), crash)
	if fresh {
		pr.gossip.AddPartCrash(crash, pr.parts.HasRepeatedCrash(parts))
	}
	blocks := pr.decideParts()
	pr.mu.Unlock()
	pr.notifyBlocks(blocks)
	if fresh {
		pr.requestHeartbeat()
	}
}

// ReportPartsSuccess records that an upstream wrote an answer to a request with the parts and lives, and announces it for
// those with crashes.
func (pr *Peer) ReportPartsSuccess(parts []poison.Part) {
	pr.mu.Lock()
	cleared := []poison.Part{}
	for _, part := range parts[:min(len(parts), poison.MaxParts)] {
		pr.parts.MarkSucceeded(part)
		if !pr.parts.IsSuspectOrBlocked(part) {
			continue
		}
		success := poison.Success{Part: part, At: pr.Time()}
		if pr.parts.ReportSuccess(success) {
			pr.gossip.AddPartSuccess(success)
			cleared = append(cleared, part)
		}
	}
	if len(cleared) > 0 {
		pr.publishParts()
	}
	pr.mu.Unlock()
	for _, part := range cleared {
		pr.events.Record(&wire.Event{Kind: wire.EventKind_EventPartCleared, Detail: partDetail(part)})
	}
	if len(cleared) > 0 {
		pr.requestHeartbeat()
	}
}

// BeginPartTrial reports whether this instance may send one request with the blocked parts now.
func (pr *Peer) BeginPartTrial(parts []poison.Part) bool {
	if status, _ := pr.PartStatus(parts); status != poison.Blocked {
		return false
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	allowed := false
	for _, part := range parts {
		if status := (*pr.partStatuses.Load())[part]; status != poison.Blocked {
			continue
		}
		if !pr.parts.BeginTrial(pr.Time(), part, pr.ownsTrial(part)) {
			return false
		}
		allowed = true
	}
	return allowed
}

// ownsTrial reports whether this instance comes first in the part's rendezvous order of the live instances.
func (pr *Peer) ownsTrial(part poison.Part) bool {
	first, highest := "", uint64(0)
	for _, mb := range pr.members.Live() {
		if weight := xxhash.Sum64String(fmt.Sprint(mb.ID, "/", uint64(part))); first == "" || weight > highest {
			first, highest = mb.ID, weight
		}
	}
	return first == pr.selfID
}

// Time returns a reading of the hybrid logical clock, by which the instances compare crashes and successes. The logical part
// counts as nanoseconds, so that a success and a later crash differ also while the wall clock stands or was set back.
func (pr *Peer) Time() time.Time {
	read := pr.clock.Now()
	return time.UnixMicro(read.WallMicros).Add(time.Duration(read.Logical))
}

// decideParts blocks the parts that have caused crashes and publishes the statuses; it returns the new blocks.
func (pr *Peer) decideParts() []poison.Block {
	blocks := pr.parts.Decide(pr.Time())
	pr.publishParts()
	return blocks
}

func (pr *Peer) publishParts() {
	statuses := pr.parts.Statuses()
	pr.partStatuses.Store(&statuses)
}

// notifyBlocks records new blocks and passes them to the listener.
func (pr *Peer) notifyBlocks(blocks []poison.Block) {
	if len(blocks) == 0 {
		return
	}
	parts := []poison.Part{}
	for _, block := range blocks {
		parts = append(parts, block.Part)
		pr.events.Record(&wire.Event{
			Kind: wire.EventKind_EventPartBlocked, Detail: fmt.Sprintf("%s lastcrash=%s trials=%d", partDetail(block.Part), block.At.UTC().Format(time.TimeOnly), block.Trials),
		})
	}
	pr.listener.PartsBlocked(parts)
	pr.requestHeartbeat()
}

func partDetail(part poison.Part) string {
	return "part=" + part.String()
}

// addPartNews adds the news about parts of a heartbeat. It returns the new blocks, and whether the other instances should
// be told at once.
func (pr *Peer) addPartNews(heartbeat *wire.Heartbeat) ([]poison.Block, bool) {
	if len(heartbeat.GetPartCrashes())+len(heartbeat.GetPartSuccesses())+len(heartbeat.GetPartBlocks()) == 0 {
		return nil, false
	}
	now, changed, urgent := pr.Time(), false, false
	for _, item := range heartbeat.GetPartSuccesses() {
		success := poison.Success{Part: poison.Part(item.GetPart()), At: time.Unix(0, item.GetUnixNanos())}
		if pr.parts.ReportSuccess(success) {
			pr.gossip.AddPartSuccess(success)
			changed, urgent = true, true
		}
	}
	for _, item := range heartbeat.GetPartCrashes() {
		crash := fromWirePartCrash(item)
		if pr.parts.ReportCrash(now, crash) {
			again := pr.parts.HasRepeatedCrash(crash.Parts)
			pr.gossip.AddPartCrash(crash, again)
			changed, urgent = true, urgent || again
		}
	}
	blocks := []poison.Block{}
	for _, item := range heartbeat.GetPartBlocks() {
		block := poison.Block{Part: poison.Part(item.GetPart()), At: time.Unix(0, item.GetUnixNanos()), Trials: int(item.GetTrials())}
		if pr.parts.AddBlock(now, block) {
			blocks = append(blocks, block)
		} else if success, later := pr.parts.SuccessSince(block); later {
			// The sender has missed what lifted the block.
			pr.gossip.AddPartSuccess(success)
		}
	}
	if changed {
		blocks = append(blocks, pr.parts.Decide(now)...)
	}
	if changed || len(blocks) > 0 {
		pr.publishParts()
	}
	return blocks, urgent
}

// setPartNews sets the news about parts of a heartbeat.
func (pr *Peer) setPartNews(heartbeat *wire.Heartbeat) {
	news := pr.gossip.TakePartNews()
	for _, crash := range news.Crashes {
		heartbeat.PartCrashes = append(heartbeat.PartCrashes, toWirePartCrash(crash))
	}
	for _, success := range news.Successes {
		heartbeat.PartSuccesses = append(heartbeat.PartSuccesses, &wire.PartSuccess{Part: uint64(success.Part), UnixNanos: success.At.UnixNano()})
	}
	for _, block := range pr.parts.Blocks() {
		heartbeat.PartBlocks = append(heartbeat.PartBlocks, &wire.PartBlock{
			Part: uint64(block.Part), UnixNanos: block.At.UnixNano(), Trials: int32(block.Trials),
		})
	}
}

func toWirePartCrash(crash poison.Crash) *wire.PartCrash {
	converted := &wire.PartCrash{Upstream: crash.Upstream, UnixNanos: crash.At.UnixNano(), Succeeded: crash.Succeeded}
	for _, part := range crash.Parts {
		converted.Parts = append(converted.Parts, uint64(part))
	}
	return converted
}

func fromWirePartCrash(crash *wire.PartCrash) poison.Crash {
	converted := poison.Crash{Upstream: crash.GetUpstream(), At: time.Unix(0, crash.GetUnixNanos()), Succeeded: crash.GetSucceeded()}
	for _, part := range crash.GetParts() {
		converted.Parts = append(converted.Parts, poison.Part(part))
	}
	return converted
}
