package document

import (
	"fmt"
	"sort"
	"time"
)

// check reports sections that are valid alone but not together.
func (ps *parser) check() {
	ps.each("Pipeline", ps.checkPipeline)
	ps.each("Upstream", ps.checkUpstream)
	ps.checkFloors()
	if len(ps.document.Pipelines) > 0 && len(ps.document.Ranks) == 0 {
		ps.each("Pipeline", func(_ string, bd boundSection) {
			ps.fault(bd, "", "", "at least one [Rank] section beside the pipelines")
		})
	}
}

// checkPipeline reports a pipeline whose stages take longer than any rank's deadline, that uses an empty pool, whose
// last stage may be skipped, or that is non-idempotent with several stages.
func (ps *parser) checkPipeline(name string, bd boundSection) {
	pipeline := ps.document.Pipelines[name]
	total := time.Duration(0)
	for _, stage := range pipeline.Stages {
		total += stage.Pool.StageTime
		if len(stage.Pool.Upstreams) == 0 {
			ps.fault(bd, "Stages", stage.Name, "a stage whose pool "+stage.Pool.Name+" has at least one upstream")
		}
	}
	longest := time.Duration(0)
	for _, rank := range ps.document.Ranks {
		longest = max(longest, rank.Deadline)
	}
	if longest > 0 && total > longest {
		ps.fault(bd, "Stages", "", fmt.Sprintf("stages of at most %v together, the longest deadline of any rank; StageMs adds up to %v", longest, total))
	}
	if last := pipeline.Stages[len(pipeline.Stages)-1]; last.Brownout == BrownoutSkip {
		ps.fault(bd, "Stages", last.Name, "a last stage that is not left out: its Brownout is Skip, and it makes the answer")
	}
	if !pipeline.Idempotent && len(pipeline.Stages) > 1 {
		ps.fault(bd, "Idempotent", "false", "a single stage, since a claim covers one call")
	}
}

// checkUpstream reports an upstream whose address another upstream has.
func (ps *parser) checkUpstream(name string, bd boundSection) {
	own := ps.document.Upstreams[name]
	for _, other := range ps.document.Upstreams {
		if other.Name < own.Name && other.Address == own.Address {
			ps.fault(bd, "Address", own.Address, "an address that upstream "+other.Name+" does not already use")
		}
	}
}

// checkFloors reports floors that add up to more than maxFloorSum.
func (ps *parser) checkFloors() {
	total := int64(0)
	for _, rank := range ps.document.Ranks {
		total += rank.FloorPercent
	}
	if total <= maxFloorSum {
		return
	}
	names := []string{}
	for name := range ps.document.Ranks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		ps.fault(ps.bound[sectionID{"Rank", name}], "FloorPercent", "", fmt.Sprintf("floors of at most %d percent over all ranks; they add up to %d", maxFloorSum, total))
	}
}

// maxFloorSum is the maximum sum of all ranks' floors, in percent; the rest is left to the first rank.
const maxFloorSum = 90
