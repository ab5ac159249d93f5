package gossip_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/poison"
)

// crashOf returns the news that an upstream crashed.
func crashOf(upstream int) poison.Crash {
	return poison.Crash{Upstream: uint64(upstream), At: time.Unix(100, 0)}
}

// TestNewsAboutPartsIsBounded guards against messages and memory that grow with the parts that callers name, and against
// urgent news that waits behind them.
func TestNewsAboutPartsIsBounded(t *testing.T) {
	st := gossip.New()
	st.AddPartCrash(crashOf(0), true)
	for at := range 5000 {
		st.AddPartCrash(crashOf(at+1), false)
	}
	seen := map[uint64]int{}
	messages := 0
	for {
		news := st.TakePartNews()
		if len(news.Crashes) == 0 {
			break
		}
		messages++
		must.LessEq(t, 128, len(news.Crashes))
		if messages == 1 {
			must.Eq(t, 0, news.Crashes[0].Upstream, must.Sprint("urgent news comes first"))
		}
		for _, crash := range news.Crashes {
			seen[crash.Upstream]++
		}
	}
	must.LessEq(t, 1024, len(seen))
	must.Eq(t, 16, seen[0])
}

func TestSuccessesAreSent(t *testing.T) {
	st := gossip.New()
	success := poison.Success{Part: 7, At: time.Unix(100, 0)}
	st.AddPartSuccess(success)
	must.Eq(t, []poison.Success{success}, st.TakePartNews().Successes)
}
