package order_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/order"
)

var (
	start  = time.Unix(1000, 0)
	wanted = order.State{Model: "next"}
)

func tenure(number int64, since, remaining time.Duration) order.LeaseTerm {
	return order.LeaseTerm{FencingToken: number, Since: start.Add(-since), Remaining: remaining}
}

func TestNext(t *testing.T) {
	long := tenure(7, time.Minute, 10*time.Second)
	t.Run("the state is read, then ordered with the lease's number, then read again", func(t *testing.T) {
		en := order.New(true, wanted)
		must.Eq(t, order.Step(order.Read{}), en.Next(start, long))
		en.RecordState(start, order.State{Model: "base"})
		must.Eq(t, order.Step(order.Send{FencingToken: 7, Desired: wanted}), en.Next(start, long))
		en.MarkStateUnknown()
		must.Eq(t, order.Step(order.Read{}), en.Next(start, long))
		en.RecordState(start, wanted)
		must.Eq(t, order.Step(order.UpToDate{}), en.Next(start, long))
	})
	t.Run("an engine that does not check waits out the flight of the holder before", func(t *testing.T) {
		fresh := tenure(8, time.Second, 10*time.Second)
		must.Eq(t, order.Step(order.Wait{For: order.CallTimeout - time.Second}), order.New(false, wanted).Next(start, fresh))
		must.Eq(t, order.Step(order.Read{}), order.New(true, wanted).Next(start, fresh))
	})
	t.Run("nothing is sent that could arrive after the lease", func(t *testing.T) {
		en := order.New(true, wanted)
		short := tenure(7, time.Minute, order.CallTimeout)
		en.Next(start, short)
		en.RecordState(start, order.State{})
		must.Eq(t, order.Step(order.Wait{For: order.CallTimeout}), en.Next(start, short))
		must.True(t, en.IsUnloaded())
	})
	t.Run("a new lease forgets what was read under the old one", func(t *testing.T) {
		en := order.New(true, wanted)
		en.Next(start, long)
		en.RecordState(start, wanted)
		must.Eq(t, order.Step(order.Read{}), en.Next(start, tenure(8, 0, 10*time.Second)))
	})
}
