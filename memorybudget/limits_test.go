package memorybudget_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/memorybudget"
)

const mebibyte = 1 << 20

// TestLimitsFitTheMemory guards against defaults that together exceed the memory, or that two longest bodies don't fit into.
func TestLimitsFitTheMemory(t *testing.T) {
	for _, machine := range []struct {
		megabytes   int64
		descriptors int
	}{{144, 3075}, {128, 600}, {184, 4100}, {536, 10250}} {
		limits := memorybudget.LimitsOf(machine.megabytes*mebibyte, machine.descriptors)
		must.LessEq(t, machine.megabytes*mebibyte/2, limits.BodyBytes+limits.HeadBytes+int64(limits.Connections)*24<<10)
		must.GreaterEq(t, 8*mebibyte, limits.BodyBytes-limits.ShortBytes)
		must.LessEq(t, (machine.descriptors-200)*2/3, limits.Connections)
		must.GreaterEq(t, 200, limits.Connections)
	}
}

// TestNoLimits guards against limits in deployments whose settings have none.
func TestNoLimits(t *testing.T) {
	limits := memorybudget.LimitsOf(0, 0)
	must.GreaterEq(t, int64(1<<50), limits.BodyBytes)
	must.GreaterEq(t, int64(1<<50), limits.HeadBytes)
	must.GreaterEq(t, 1<<30, limits.Connections)
}
