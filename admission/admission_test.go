package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/admission"
	"github.com/turmericdoor/turmericdoor/dispatch"
)

// stage meets a wait and a service time in milliseconds, of which a part may be left out.
func stage(wait, service, droppable int) admission.Stage {
	return admission.Stage{
		Estimate:  dispatch.Estimate{Wait: time.Duration(wait) * time.Millisecond, Service: time.Duration(service) * time.Millisecond, Usable: true},
		Droppable: time.Duration(droppable) * time.Millisecond, Skippable: droppable == service,
	}
}

func TestDecide(t *testing.T) {
	down, optional := admission.Stage{}, admission.Stage{Skippable: true}
	cases := map[string]struct {
		left   time.Duration
		stages []admission.Stage
		want   admission.Decision
	}{
		"waits of a chain do not add up": {
			500 * time.Millisecond,
			[]admission.Stage{stage(100, 50, 0), stage(300, 100, 0)},
			admission.Admit{Expected: 487500 * time.Microsecond},
		},
		"what can't be met is refused with when it could be": {
			400 * time.Millisecond,
			[]admission.Stage{stage(100, 50, 0), stage(300, 200, 0)},
			admission.Refuse{Reason: dispatch.Overloaded, RetryAfter: 187500 * time.Microsecond},
		},
		"what never could is refused as too late": {
			100 * time.Millisecond,
			[]admission.Stage{stage(0, 200, 0)},
			admission.Refuse{Reason: dispatch.DeadlineCannotBeMet, RetryAfter: 50 * time.Millisecond},
		},
		"a brownout makes room": {
			400 * time.Millisecond,
			[]admission.Stage{stage(0, 200, 200), stage(0, 300, 0)},
			admission.Admit{Expected: 300 * time.Millisecond, Brownout: true},
		},
		"a stage without upstreams refuses": {
			time.Second,
			[]admission.Stage{stage(0, 1, 0), down},
			admission.Refuse{Reason: dispatch.NoUpstream, RetryAfter: 2 * time.Second},
		},
		"unless it may be left out": {
			time.Second,
			[]admission.Stage{stage(0, 100, 0), optional},
			admission.Admit{Expected: 100 * time.Millisecond, Brownout: true},
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, one.want, admission.Decide(one.left, one.stages)) })
	}
}
