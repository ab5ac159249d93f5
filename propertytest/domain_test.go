package propertytest

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// separation is one way in which failure domain a can be cut off.
type separation struct {
	name      string
	peers     bool
	oneWay    bool
	platform  bool
	deposits  answer.Outcome
	edits     string
	otherSees bool
}

// separations are the rows of the table in docs/operators/failure-domains.md.
func separations() []separation {
	return []separation{
		{name: "from the other domains", peers: true, deposits: answer.Answered, edits: "Accepted", otherSees: true},
		{name: "from the other domains, one way", peers: true, oneWay: true, deposits: answer.Answered, edits: "Accepted", otherSees: true},
		{name: "from the platform", platform: true, deposits: answer.NotRun, edits: "Unavailable", otherSees: true},
		{name: "from both", peers: true, platform: true, deposits: answer.NotRun, edits: "Unavailable"},
	}
}

// cutOff separates failure domain a.
func (fl *fleet) cutOff(sep separation) {
	if sep.peers {
		fl.cutDomains("a", "b", !sep.oneWay)
		fl.cutDomains("a", "c", !sep.oneWay)
	}
	for _, nd := range fl.in("a") {
		nd.cutFromPlatform.Store(sep.platform)
	}
}

func (fl *fleet) in(domain string) []*node {
	list := []*node{}
	for _, nd := range fl.live() {
		if nd.domain == domain {
			list = append(list, nd)
		}
	}
	return list
}

func (fl *fleet) reunite() {
	fl.heal()
	for _, nd := range fl.all() {
		nd.cutFromPlatform.Store(false)
	}
}

func TestSeparation(t *testing.T) {
	for _, sep := range separations() {
		t.Run(sep.name, func(t *testing.T) {
			withFleet(t, 50, 6, func(fl *fleet) {
				fl.cutOff(sep)
				time.Sleep(15 * time.Second)
				fl.checkInside(sep)
				other := fl.in("b")[0]
				answered(fl.t, "other", fl.ask(other, draft("other")))
				number := 0
				revision := (&editor{fl: fl, team: "base"}).edit(other, number).Revision
				must.Positive(fl.t, revision)
				fl.checkSeen(sep, revision)
				fl.leave(fl.in("a")[0], "engines-0")
				fl.leave(other, "engines-1")
				fl.reunite()
				fl.checkAgreed(revision)
			})
		})
	}
}

// checkInside compares what the separated domain can do with the table.
func (fl *fleet) checkInside(sep separation) {
	nd := fl.in("a")[0]
	for at := range 10 {
		query := fmt.Sprint("inside ", at)
		answered(fl.t, query, fl.ask(nd, draft(query)))
	}
	must.Eq(fl.t, sep.deposits, fl.ask(nd, deposit("inside", "inside")).Outcome)
	base := fl.textFrom(nd, "base")
	must.Eq(fl.t, sep.edits, fl.put(nd, "base", base.Revision, base.Text+"; inside\n", "inside-"+sep.name[:4]).Outcome)
}

// checkSeen compares whether a revision from elsewhere comes into force in the separated domain.
func (fl *fleet) checkSeen(sep separation, revision int64) {
	time.Sleep(10 * time.Second)
	for _, nd := range fl.in("a") {
		must.Eq(fl.t, sep.otherSees, nd.core.Revision() >= revision)
	}
}

// checkAgreed waits until all instances agree on the members, the document and the leaving upstreams.
func (fl *fleet) checkAgreed(revision int64) {
	fl.eventually(30*time.Second, "the document is in force everywhere", func() bool { return fl.lowestRevision() >= revision })
	fl.eventually(60*time.Second, "all instances know each other and who is leaving", func() bool {
		for _, nd := range fl.live() {
			if len(nd.core.Peer().Live()) != len(fl.live()) || len(nd.core.Peer().Leaving()) != 2 {
				return false
			}
		}
		return true
	})
}

// TestClaimsAcrossSeparation sends one key to two domains that can't reach each other.
func TestClaimsAcrossSeparation(t *testing.T) {
	withFleet(t, 51, 6, func(fl *fleet) {
		fl.cutOff(separation{peers: true})
		lg := newLedger(fl)
		for at := range 20 {
			key := fmt.Sprint("both ", at)
			done := make(chan struct{})
			go func() {
				defer close(done)
				lg.send(fl.in("a")[0], key)
			}()
			lg.send(fl.in("b")[0], key)
			<-done
		}
		must.SliceEmpty(fl.t, lg.check())
	})
}

// TestSeedsReplaced starts an instance whose seeds are all gone: it finds the others by the platform.
func TestSeedsReplaced(t *testing.T) {
	withFleet(t, 52, 6, func(fl *fleet) {
		for _, nd := range fl.all()[:3] {
			nd.kill()
		}
		time.Sleep(5 * time.Minute)
		fresh := fl.startNode()
		fl.eventually(30*time.Second, "the new instance knows the others", func() bool { return len(fresh.core.Peer().Live()) == 4 })
	})
}
