package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/quarantine"
)

var (
	start   = time.Unix(100000, 0)
	content = digest.OfKey("content")
)

// withCrashes returns a registry with one crash report per upstream.
func withCrashes(upstreams ...string) *quarantine.Registry {
	rg := quarantine.New()
	for at, up := range upstreams {
		rg.ReportCrash(start, quarantine.Crash{Fingerprint: content, Upstream: up, ID: string(rune('a' + at)), At: start})
	}
	return rg
}

func TestStatus(t *testing.T) {
	cases := map[string]struct {
		registry *quarantine.Registry
		want     quarantine.Status
	}{
		"no crash":                    {withCrashes(), quarantine.Clear},
		"one crash":                   {withCrashes("u0"), quarantine.Suspect},
		"two crashes of one upstream": {withCrashes("u0", "u0"), quarantine.Suspect},
		"two upstreams":               {withCrashes("u0", "u1"), quarantine.Blocked},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, one.want, one.registry.Status(start, content)) })
	}
	t.Run("a duplicate report is ignored", func(t *testing.T) {
		rg := withCrashes("u0")
		must.False(t, rg.ReportCrash(start, quarantine.Crash{Fingerprint: content, Upstream: "u1", ID: "a", At: start}))
	})
	t.Run("a suspect that was executed without a crash is cleared", func(t *testing.T) {
		rg := withCrashes("u0")
		rg.ReportSuccess(start.Add(time.Second), content)
		must.Eq(t, quarantine.Clear, rg.Status(start.Add(2*time.Second), content))
	})
	t.Run("a crash expires", func(t *testing.T) {
		rg := withCrashes("u0", "u1")
		later := start.Add(quarantine.CrashTTL + time.Second)
		must.Eq(t, quarantine.Clear, rg.Status(later, content))
		rg.Expire(later)
		must.SliceEmpty(t, rg.Crashes(later))
	})
}
