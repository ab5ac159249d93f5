package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/admission"
	"github.com/turmericdoor/turmericdoor/dispatch"
)

// stage returns a stage with times in milliseconds; it is skippable if all of its service time is droppable.
func stage(wait, service, droppable int) admission.Stage {
	return admission.Stage{
		Estimate:  dispatch.Estimate{Wait: time.Duration(wait) * time.Millisecond, Service: time.Duration(service) * time.Millisecond, Usable: true},
		Droppable: time.Duration(droppable) * time.Millisecond, Skippable: droppable == service,
	}
}

func TestDecide(t *testing.T) {
	down, optional := admission.Stage{}, admission.Stage{Skippable: true}
	cases := map[string]struct {
		timeLeft time.Duration
		stages   []admission.Stage
		want     admission.Decision
	}{
		"waits of several stages do not add up": {
			500 * time.Millisecond,
			[]admission.Stage{stage(100, 50, 0), stage(300, 100, 0)},
			admission.Admit{Expected: 487500 * time.Microsecond},
		},
		"a deadline that the wait exceeds is refused with the excess as RetryAfter": {
			400 * time.Millisecond,
			[]admission.Stage{stage(100, 50, 0), stage(300, 200, 0)},
			admission.Refuse{Reason: dispatch.Overloaded, RetryAfter: 187500 * time.Microsecond},
		},
		"a deadline shorter than the service time is refused as one that cannot be met": {
			100 * time.Millisecond,
			[]admission.Stage{stage(0, 200, 0)},
			admission.Refuse{Reason: dispatch.DeadlineCannotBeMet, RetryAfter: 50 * time.Millisecond},
		},
		"a brownout meets a deadline that the whole work would miss": {
			400 * time.Millisecond,
			[]admission.Stage{stage(0, 200, 200), stage(0, 300, 0)},
			admission.Admit{Expected: 300 * time.Millisecond, Brownout: true},
		},
		"a required stage without upstreams refuses the request": {
			time.Second,
			[]admission.Stage{stage(0, 1, 0), down},
			admission.Refuse{Reason: dispatch.NoUpstream, RetryAfter: 2 * time.Second},
		},
		"a skippable stage without upstreams causes a brownout": {
			time.Second,
			[]admission.Stage{stage(0, 100, 0), optional},
			admission.Admit{Expected: 100 * time.Millisecond, Brownout: true},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, admission.Decide(test.timeLeft, test.stages)) })
	}
}
