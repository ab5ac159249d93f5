package evacuation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/evacuation"
)

var start = time.Unix(1000, 0)

// after returns the time that many seconds after the start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// evacuated returns a register in which the failure domains a and b are evacuated from the start.
func evacuated() *evacuation.Register {
	rg := evacuation.New()
	rg.Put(start, "a", 4)
	rg.Put(start, "b", 5)
	return rg
}

// TestRows guards against evacuations that begin, last or end otherwise than their rows.
func TestRows(t *testing.T) {
	t.Run("an evacuation lasts as long as its row", func(t *testing.T) {
		rg := evacuation.New()
		must.True(t, rg.Put(start, "a", 4))
		must.False(t, rg.Put(after(1), "a", 5), must.Sprint("the row was written again"))
		must.Eq(t, map[string]time.Time{"a": start}, rg.Domains(after(3600)))
		must.True(t, rg.Remove(after(3600), "a"))
		must.MapEmpty(t, rg.Domains(after(3600)))
		must.True(t, rg.NextExpiry().IsZero())
	})
	t.Run("a removal without an evacuation changes nothing", func(t *testing.T) {
		rg := evacuated()
		must.False(t, rg.Remove(after(1), "c"))
		must.MapLen(t, 2, rg.Domains(after(1)))
	})
	t.Run("an evacuation after the last one has its own beginning", func(t *testing.T) {
		rg := evacuated()
		rg.Remove(after(1), "a")
		must.True(t, rg.Put(after(2), "a", 9))
		must.Eq(t, after(2), rg.Domains(after(2))["a"])
	})
}

// TestOlderCopy guards against an evacuation that ends because the store came back from a copy that is older than the evacuation.
func TestOlderCopy(t *testing.T) {
	t.Run("it stays in force until the operator has had time to write its row again", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		rg.Put(after(10), "b", 2)
		must.False(t, rg.Remove(after(10), "a"))
		must.Eq(t, after(15), rg.NextExpiry())
		must.MapEmpty(t, rg.Expire(after(14.9)))
		must.MapLen(t, 2, rg.Domains(after(14.9)))
		must.Eq(t, map[string]time.Time{"b": start}, rg.Domains(after(15)), must.Sprint("without waiting for Expire"))
		must.Eq(t, map[string]int64{"a": 4}, rg.Expire(after(15)))
		must.True(t, rg.NextExpiry().IsZero())
	})
	t.Run("a row that is written again ends the hold, and its removal then counts at once", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		rg.Remove(after(10), "a")
		must.False(t, rg.Put(after(11), "a", 3))
		must.True(t, rg.NextExpiry().IsZero())
		must.Eq(t, start, rg.Domains(after(60))["a"])
		must.True(t, rg.Remove(after(12), "a"))
	})
	t.Run("the removal of a row that the copy has counts at once", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		rg.Put(after(10), "a", 2)
		must.True(t, rg.Remove(after(10.1), "a"))
	})
	t.Run("a removal that another instance sends once more does not end it", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		rg.Remove(after(10), "a")
		must.False(t, rg.Remove(after(10.2), "a"))
		must.MapContainsKey(t, rg.Domains(after(10.2)), "a")
	})
	t.Run("a store that comes back older again prolongs the hold", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		rg.Remove(after(10), "a")
		rg.StoreRestored(after(13))
		must.Eq(t, after(18), rg.NextExpiry())
		must.MapContainsKey(t, rg.Domains(after(17)), "a")
	})
	t.Run("a removal long after the store came back counts at once", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		must.True(t, rg.Remove(after(16), "a"))
	})
	t.Run("an evacuation that begins after the store came back is not held", func(t *testing.T) {
		rg := evacuated()
		rg.StoreRestored(after(10))
		rg.Put(after(11), "c", 3)
		must.True(t, rg.Remove(after(12), "c"))
	})
}
