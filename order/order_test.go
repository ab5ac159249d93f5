package order_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/order"
)

var (
	start   = time.Unix(1000, 0)
	desired = order.State{Model: "next"}
)

func term(token int64, since, remaining time.Duration) order.LeaseTerm {
	return order.LeaseTerm{FencingToken: token, Since: start.Add(-since), Remaining: remaining}
}

func TestNext(t *testing.T) {
	long := term(7, time.Minute, 10*time.Second)
	t.Run("read the state, send an order with the fencing token, then read again", func(t *testing.T) {
		rc := order.New(true, desired)
		must.Eq(t, order.Step(order.Read{}), rc.Next(start, long))
		rc.RecordState(start, order.State{Model: "base"})
		must.Eq(t, order.Step(order.Send{FencingToken: 7, Desired: desired}), rc.Next(start, long))
		rc.MarkStateUnknown()
		must.Eq(t, order.Step(order.Read{}), rc.Next(start, long))
		rc.RecordState(start, desired)
		must.Eq(t, order.Step(order.UpToDate{}), rc.Next(start, long))
	})
	t.Run("an engine that does not check fencing tokens is left alone for CallTimeout after the term began", func(t *testing.T) {
		fresh := term(8, time.Second, 10*time.Second)
		must.Eq(t, order.Step(order.Wait{For: order.CallTimeout - time.Second}), order.New(false, desired).Next(start, fresh))
		must.Eq(t, order.Step(order.Read{}), order.New(true, desired).Next(start, fresh))
	})
	t.Run("no order is sent that could arrive after the lease expired", func(t *testing.T) {
		rc := order.New(true, desired)
		short := term(7, time.Minute, order.CallTimeout)
		rc.Next(start, short)
		rc.RecordState(start, order.State{})
		must.Eq(t, order.Step(order.Wait{For: order.CallTimeout}), rc.Next(start, short))
		must.True(t, rc.IsUnloaded())
	})
	t.Run("a state read under an earlier term is read again", func(t *testing.T) {
		rc := order.New(true, desired)
		rc.Next(start, long)
		rc.RecordState(start, desired)
		must.Eq(t, order.Step(order.Read{}), rc.Next(start, term(8, 0, 10*time.Second)))
	})
}
