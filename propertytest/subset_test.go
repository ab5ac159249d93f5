package propertytest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
)

// TestLargePool has a pool with more upstreams than an instance uses. Requests are answered, also after two instances
// have died, and an instance that remains then uses more upstreams.
func TestLargePool(t *testing.T) {
	withFleet(t, 70, 6, func(fl *fleet) {
		text := &strings.Builder{}
		fl.addPool(text, "many", document.Encoder, 120, 4, 5*time.Millisecond, "")
		text.WriteString("[Stage many]\nPool = many\n[Pipeline large]\nStages = many\n")
		must.Eq(fl.t, "Accepted", fl.putTeam(fl.live()[0], "large", 0, text.String(), "large").Outcome)
		time.Sleep(2 * time.Second)
		nd := fl.live()[0]
		statuses, _ := nd.core.Pool("many").Statuses()
		must.Between(fl.t, 16, len(statuses), 40)
		large := draftRequest("large")
		large.pipeline = "large"
		must.Eq(fl.t, "Answered", fmt.Sprint(fl.send(nd, large).Outcome))
		fl.live()[1].kill()
		fl.live()[2].kill()
		time.Sleep(15 * time.Second)
		after, _ := nd.core.Pool("many").Statuses()
		must.Greater(fl.t, len(statuses), len(after))
		must.Eq(fl.t, "Answered", fmt.Sprint(fl.send(nd, large).Outcome))
	})
}
