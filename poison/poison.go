package poison

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
)

// Part identifies a part of prompts by a hash of its ID, which callers choose.
type Part uint64

// PartOf returns the part with an ID.
func PartOf(id string) Part {
	sum := digest.OfKey(id)
	return Part(binary.LittleEndian.Uint64(sum[:]))
}

// String returns the hash as 16 hexadecimal digits.
func (pt Part) String() string {
	return fmt.Sprintf("%016x", uint64(pt))
}

// Status is what may be done with requests that have a part.
type Status int

// The statuses: no crash, crashes for which the part may be the cause, and a part that no longer reaches upstreams.
const (
	Clear Status = iota
	Suspect
	Blocked
)

// Crash reports a request that was lost when an upstream's process died, before its answer or soon after its beginning.
// Parts are the shared parts of its prompt, and Succeeded has a bit set for each of them with a known success. Upstream identifies the incarnation that died.
type Crash struct {
	Upstream  uint64
	Parts     []Part
	Succeeded uint64
	At        time.Time
}

// Success reports that an upstream wrote an answer to a request with the part and lives.
type Success struct {
	Part Part
	At   time.Time
}

// Block tells that a part is blocked because of crashes until At, or since a trial at that time. Trials is the number of
// requests with the part that were let through since the decision.
type Block struct {
	Part   Part
	At     time.Time
	Trials int
}

const (
	// crashesToBlock is the number of crashes after which a part without a known success is blocked.
	crashesToBlock = 3
	// crashesToBlockAny is the number of crashes, not explained by a blocked part, after which any part is blocked.
	crashesToBlockAny = 5
	// sameMoment is the time within which several crashes count as one, as when a failure domain is lost.
	sameMoment = 50 * time.Millisecond
	// CrashTTL is how long a crash or a block counts.
	CrashTTL = time.Hour
	// maxSuspects bounds the parts with crashes, maxCrashes the crashes that are kept of each, and maxCrashesOfMoment those
	// within sameMoment, so that many at once leave room for the next ones.
	maxSuspects        = 4096
	maxCrashes         = 64
	maxCrashesOfMoment = 8
	// evictedShare is the divisor of maxSuspects that gives how many are removed at once when there is no room.
	evictedShare = 4
	// maxBlocks bounds the blocked parts.
	maxBlocks = 256
	// MaxParts bounds the parts of one request that are recorded; Crash.Succeeded has as many bits.
	MaxParts = 64
	// firstTrialAfter is how long a part is blocked until a trial; the time doubles with each trial, up to CrashTTL. Instances
	// that don't own the trial wait otherTrialFactor times as long.
	firstTrialAfter  = time.Minute
	maxDoublings     = 6
	otherTrialFactor = 4
)

// Registry records the crashes of parts; it is not safe for concurrent use.
type Registry struct {
	suspects  map[Part]*suspect
	blocks    map[Part]Block
	successes successes
	// fullFor is the width of the requests whose parts found no room, or 0 if there may be room.
	fullFor int
}

// suspect holds the crashes of a part since succeededAt, its last known success.
type suspect struct {
	crashes     []crashRecord
	succeededAt time.Time
}

// crashRecord is a crash that a part may have caused. width is the number of parts that the request had.
type crashRecord struct {
	upstream uint64
	at       time.Time
	width    int
}

// New returns a registry without crashes.
func New() *Registry {
	return &Registry{suspects: map[Part]*suspect{}, blocks: map[Part]Block{}}
}

// ReportCrash adds a crash and returns whether it was news for one of its parts.
func (rg *Registry) ReportCrash(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) > CrashTTL {
		return false
	}
	fresh := false
	for at, part := range crash.Parts[:min(len(crash.Parts), MaxParts)] {
		if crash.Succeeded>>at&1 == 1 {
			rg.successes.add(part)
		}
		if rg.addCrash(part, crashRecord{upstream: crash.Upstream, at: crash.At, width: len(crash.Parts)}) {
			fresh = true
		}
	}
	return fresh
}

// addCrash adds a crash of a part unless it is known, a success came later, or the registry is full of others that are as
// suspicious.
func (rg *Registry) addCrash(part Part, fresh crashRecord) bool {
	known, found := rg.suspects[part]
	if !found {
		if len(rg.suspects) >= maxSuspects && !rg.evict(fresh.width) {
			return false
		}
		known = &suspect{}
		rg.suspects[part] = known
	}
	if !fresh.at.After(known.succeededAt) || known.hasCrashed(fresh.upstream) || known.isFull(fresh.at) {
		return false
	}
	known.crashes = append(known.crashes, fresh)
	return true
}

func (su *suspect) hasCrashed(upstream uint64) bool {
	return slices.ContainsFunc(su.crashes, func(each crashRecord) bool { return each.upstream == upstream })
}

// isFull reports whether no further crash at a time is kept.
func (su *suspect) isFull(at time.Time) bool {
	atMoment := 0
	for _, each := range su.crashes {
		if each.at.Sub(at).Abs() <= sameMoment {
			atMoment++
		}
	}
	return len(su.crashes) >= maxCrashes || atMoment >= maxCrashesOfMoment
}

// evict makes room for a newcomer from a request with width parts: it removes the least suspicious quarter of the parts that
// have one crash at most and that are not more suspicious than the newcomer. It returns false if there are none.
func (rg *Registry) evict(width int) bool {
	if rg.fullFor > 0 && width >= rg.fullFor {
		return false
	}
	victims := []Part{}
	for part, each := range rg.suspects {
		if len(each.crashes) == 0 || len(each.crashes) == 1 && each.crashes[0].width >= width {
			victims = append(victims, part)
		}
	}
	if len(victims) == 0 {
		rg.fullFor = width
		return false
	}
	slices.SortFunc(victims, func(left, right Part) int { return rg.suspects[left].compare(rg.suspects[right]) })
	for _, part := range victims[:min(len(victims), maxSuspects/evictedShare)] {
		delete(rg.suspects, part)
	}
	return true
}

// compare returns a negative number if the part is less suspicious than another.
func (su *suspect) compare(other *suspect) int {
	if order := cmp.Compare(len(su.crashes), len(other.crashes)); order != 0 || len(su.crashes) == 0 {
		return order
	}
	if order := cmp.Compare(other.crashes[0].width, su.crashes[0].width); order != 0 {
		return order
	}
	return su.crashes[0].at.Compare(other.crashes[0].at)
}

// ReportSuccess records a success of a part: crashes until then no longer count, and a block is lifted. It returns whether
// that changed anything.
func (rg *Registry) ReportSuccess(success Success) bool {
	rg.successes.add(success.Part)
	changed := false
	if block, is := rg.blocks[success.Part]; is && success.At.After(block.At) {
		delete(rg.blocks, success.Part)
		changed = true
	}
	known, found := rg.suspects[success.Part]
	if !found && len(rg.suspects) < maxSuspects {
		rg.suspects[success.Part] = &suspect{succeededAt: success.At}
	}
	if !found || !success.At.After(known.succeededAt) {
		return changed
	}
	rg.fullFor = 0
	before := len(known.crashes)
	known.succeededAt = success.At
	known.crashes = slices.DeleteFunc(known.crashes, func(each crashRecord) bool { return !each.at.After(success.At) })
	return changed || len(known.crashes) < before
}

// MarkSucceeded remembers that a part had a success, so that other parts are blocked for a crash first.
func (rg *Registry) MarkSucceeded(part Part) {
	rg.successes.add(part)
}

// SucceededBits returns a bit for each of the first MaxParts parts with a known success.
func (rg *Registry) SucceededBits(parts []Part) uint64 {
	bits := uint64(0)
	for at, part := range parts[:min(len(parts), MaxParts)] {
		if rg.successes.has(part) {
			bits |= 1 << at
		}
	}
	return bits
}

// HasRepeatedCrash reports whether one of the parts has more than one crash.
func (rg *Registry) HasRepeatedCrash(parts []Part) bool {
	return slices.ContainsFunc(parts, func(part Part) bool {
		known, found := rg.suspects[part]
		return found && len(known.crashes) > 1
	})
}

// IsSuspectOrBlocked reports whether a part has crashes since its last success, or is blocked.
func (rg *Registry) IsSuspectOrBlocked(part Part) bool {
	known, found := rg.suspects[part]
	_, blocked := rg.blocks[part]
	return blocked || found && len(known.crashes) > 0
}

// AddBlock adds a block that another instance decided, and returns whether it is news.
func (rg *Registry) AddBlock(now time.Time, block Block) bool {
	known, found := rg.blocks[block.Part]
	if now.Sub(block.At) > CrashTTL || found && !block.At.After(known.At) {
		return false
	}
	if suspected, is := rg.suspects[block.Part]; is && !block.At.After(suspected.succeededAt) {
		return false
	}
	if !found && len(rg.blocks) >= maxBlocks {
		rg.dropOldestBlock()
	}
	rg.blocks[block.Part] = block
	return true
}

// SuccessSince returns the last known success of a blocked part, if it came after the block.
func (rg *Registry) SuccessSince(block Block) (Success, bool) {
	known, found := rg.suspects[block.Part]
	if !found || !known.succeededAt.After(block.At) {
		return Success{}, false
	}
	return Success{Part: block.Part, At: known.succeededAt}, true
}

func (rg *Registry) dropOldestBlock() {
	blocks := rg.Blocks()
	delete(rg.blocks, blocks[len(blocks)-1].Part)
}

// BeginTrial reports whether one request with a blocked part may run now, and counts it. One of the instances owns the
// trials of a part, so that not all begin one at the same time; the others step in if it gets no such request.
func (rg *Registry) BeginTrial(now time.Time, part Part, isOwner bool) bool {
	block, blocked := rg.blocks[part]
	pause := firstTrialAfter << min(block.Trials, maxDoublings)
	if !isOwner {
		pause *= otherTrialFactor
	}
	if !blocked || now.Sub(block.At) < min(pause, CrashTTL) {
		return false
	}
	rg.blocks[part] = Block{Part: part, At: now, Trials: block.Trials + 1}
	return true
}

// Blocks returns the blocked parts, the newest first.
func (rg *Registry) Blocks() []Block {
	list := []Block{}
	for _, block := range rg.blocks {
		list = append(list, block)
	}
	slices.SortFunc(list, func(left, right Block) int {
		if order := right.At.Compare(left.At); order != 0 {
			return order
		}
		return cmp.Compare(left.Part, right.Part)
	})
	return list
}

// Statuses returns the status of each part that is not clear.
func (rg *Registry) Statuses() map[Part]Status {
	statuses := map[Part]Status{}
	for part, each := range rg.suspects {
		if len(each.crashes) > 0 && !rg.successes.has(part) {
			statuses[part] = Suspect
		}
	}
	for part := range rg.blocks {
		statuses[part] = Blocked
	}
	return statuses
}

// Expire drops the crashes and blocks that no longer count.
func (rg *Registry) Expire(now time.Time) {
	rg.fullFor = 0
	for part, each := range rg.suspects {
		each.crashes = slices.DeleteFunc(each.crashes, func(one crashRecord) bool { return now.Sub(one.at) > CrashTTL })
		if len(each.crashes) == 0 && now.Sub(each.succeededAt) > successTTL {
			delete(rg.suspects, part)
		}
	}
	for part, block := range rg.blocks {
		if now.Sub(block.At) > CrashTTL {
			delete(rg.blocks, part)
		}
	}
}

// successTTL is how long late reports of crashes and blocks are compared with a later answer.
const successTTL = 10 * time.Minute
