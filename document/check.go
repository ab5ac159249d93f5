package document

import (
	"fmt"
	"sort"
	"time"
)

// check looks for sections that are each right but can't work together.
func (ps *parser) check() {
	ps.each("Pipeline", ps.checkPipeline)
	ps.each("Upstream", ps.checkUpstream)
	ps.checkFloors()
	if len(ps.document.Pipelines) > 0 && len(ps.document.Ranks) == 0 {
		ps.each("Pipeline", func(_ string, bd bound) {
			ps.fault(bd, "", "", "at least one [Rank] section beside the pipelines")
		})
	}
}

// checkPipeline reports a pipeline that no rank's deadline leaves time for, or whose pools are empty.
func (ps *parser) checkPipeline(name string, bd bound) {
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

// checkUpstream reports two upstreams at one address.
func (ps *parser) checkUpstream(name string, bd bound) {
	mine := ps.document.Upstreams[name]
	for _, other := range ps.document.Upstreams {
		if other.Name < mine.Name && other.Address == mine.Address {
			ps.fault(bd, "Address", mine.Address, "an address that upstream "+other.Name+" does not already use")
		}
	}
}

// checkFloors reports floors that add up to more than what the first rank can leave.
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
		ps.fault(ps.bound[item{"Rank", name}], "FloorPercent", "", fmt.Sprintf("floors of at most %d percent over all ranks; they add up to %d", maxFloorSum, total))
	}
}

// maxFloorSum is the most that all ranks' floors may add up to, in percent.
const maxFloorSum = 90
