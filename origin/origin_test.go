package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/origin"
)

var start = time.Unix(1000, 0)

const retention = 30 * time.Second

func recordOf(id, version string, send int) origin.Record {
	return origin.Record{Stream: origin.StreamOf(id), Pipeline: "query", Origin: origin.Origin{Pool: "model", Version: version}, Send: send}
}

// assertVersion checks the version of a stream, "" if there is no record.
func assertVersion(t *testing.T, tb *origin.Table, id, expected string) {
	t.Helper()
	known, _ := tb.Find(origin.StreamOf(id))
	must.Eq(t, expected, known.Origin.Version)
}

func TestTable(t *testing.T) {
	t.Run("a record is kept for the retention at least, and dropped after twice that", func(t *testing.T) {
		tb := origin.New(start)
		tb.Put(start.Add(29*time.Second), retention, recordOf("a", "v1", 1))
		tb.Put(start.Add(59*time.Second), retention, recordOf("b", "v1", 1))
		assertVersion(t, tb, "a", "v1")
		tb.Put(start.Add(90*time.Second), retention, recordOf("c", "v1", 1))
		assertVersion(t, tb, "a", "")
		assertVersion(t, tb, "b", "v1")
	})
	t.Run("the record of the last send stays", func(t *testing.T) {
		tb := origin.New(start)
		tb.Put(start, retention, recordOf("a", "v2", 2))
		tb.Put(start, retention, recordOf("a", "v1", 1))
		assertVersion(t, tb, "a", "v2")
		tb.Put(start, retention, recordOf("a", "v3", 3))
		assertVersion(t, tb, "a", "v3")
	})
	t.Run("the number of records is bounded", func(t *testing.T) {
		tb := origin.New(start)
		for number := range 200000 {
			tb.Put(start, retention, recordOf(fmt.Sprint(number), "v1", 1))
		}
		must.LessEq(t, 65536, tb.Len())
		assertVersion(t, tb, "199999", "v1")
	})
	t.Run("the records of a pipeline are listed up to a limit", func(t *testing.T) {
		tb := origin.New(start)
		for number := range 10 {
			tb.Put(start, retention, recordOf(fmt.Sprint(number), "v1", 1))
		}
		must.SliceLen(t, 10, tb.OfPipeline("query", 20))
		must.SliceLen(t, 4, tb.OfPipeline("query", 4))
		must.SliceEmpty(t, tb.OfPipeline("other", 20))
	})
}
