package propertytest

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// partition is a way in which failure domain a is cut off, with the expected outcomes of requests to that domain.
type partition struct {
	name           string
	peers          bool
	oneWay         bool
	platform       bool
	deposits       answer.Outcome
	edits          string
	seesOtherEdits bool
}

// partitions returns the rows of the table in docs/operators/failure-domains.md.
func partitions() []partition {
	return []partition{
		{name: "from the other domains", peers: true, deposits: answer.Answered, edits: "Accepted", seesOtherEdits: true},
		{name: "from the other domains, one way", peers: true, oneWay: true, deposits: answer.Answered, edits: "Accepted", seesOtherEdits: true},
		{name: "from the platform", platform: true, deposits: answer.NotRun, edits: "Unavailable", seesOtherEdits: true},
		{name: "from both", peers: true, platform: true, deposits: answer.NotRun, edits: "Unavailable"},
	}
}

// applyPartition cuts off failure domain a.
func (fl *fleet) applyPartition(pt partition) {
	if pt.peers {
		fl.cutDomains("a", "b", !pt.oneWay)
		fl.cutDomains("a", "c", !pt.oneWay)
	}
	for _, nd := range fl.nodesIn("a") {
		nd.cutFromPlatform.Store(pt.platform)
	}
}

func (fl *fleet) nodesIn(domain string) []*node {
	list := []*node{}
	for _, nd := range fl.live() {
		if nd.domain == domain {
			list = append(list, nd)
		}
	}
	return list
}

func (fl *fleet) endPartition() {
	fl.restoreLinks()
	for _, nd := range fl.all() {
		nd.cutFromPlatform.Store(false)
	}
}

func TestSeparation(t *testing.T) {
	for _, pt := range partitions() {
		t.Run(pt.name, func(t *testing.T) {
			withFleet(t, 50, 6, func(fl *fleet) {
				fl.applyPartition(pt)
				time.Sleep(15 * time.Second)
				fl.checkPartitionedDomain(pt)
				other := fl.nodesIn("b")[0]
				requireAnswered(fl.t, "other", fl.send(other, draftRequest("other")))
				number := 0
				revision := (&editor{fl: fl, team: "base"}).edit(other, number).Revision
				must.Positive(fl.t, revision)
				fl.checkRevisionSeen(pt, revision)
				fl.markLeaving(fl.nodesIn("a")[0], "engines-0")
				fl.markLeaving(other, "engines-1")
				fl.endPartition()
				fl.checkConverged(revision)
			})
		})
	}
}

// checkPartitionedDomain compares the outcomes of requests to the separated domain with the table.
func (fl *fleet) checkPartitionedDomain(pt partition) {
	nd := fl.nodesIn("a")[0]
	for at := range 10 {
		query := fmt.Sprint("inside ", at)
		requireAnswered(fl.t, query, fl.send(nd, draftRequest(query)))
	}
	must.Eq(fl.t, pt.deposits, fl.send(nd, depositRequest("inside", "inside")).Outcome)
	base := fl.teamTextFrom(nd, "base")
	must.Eq(fl.t, pt.edits, fl.putTeam(nd, "base", base.Revision, base.Text+"; inside\n", "inside-"+pt.name[:4]).Outcome)
}

// checkRevisionSeen checks whether the separated domain uses a revision from another domain, as the table says.
func (fl *fleet) checkRevisionSeen(pt partition, revision int64) {
	time.Sleep(10 * time.Second)
	for _, nd := range fl.nodesIn("a") {
		must.Eq(fl.t, pt.seesOtherEdits, nd.core.Revision() >= revision)
	}
}

// checkConverged waits until all instances agree on the members, the document and the leaving upstreams.
func (fl *fleet) checkConverged(revision int64) {
	fl.eventually(30*time.Second, "all instances use the document", func() bool { return fl.lowestRevision() >= revision })
	fl.eventually(60*time.Second, "all instances know each other and the leaving upstreams", func() bool {
		for _, nd := range fl.live() {
			if len(nd.core.Peer().Live()) != len(fl.live()) || len(nd.core.Peer().Leaving()) != 2 {
				return false
			}
		}
		return true
	})
}

// TestClaimsAcrossSeparation sends requests with the same key to two domains that can't reach each other.
func TestClaimsAcrossSeparation(t *testing.T) {
	withFleet(t, 51, 6, func(fl *fleet) {
		fl.applyPartition(partition{peers: true})
		lg := newLedger(fl)
		for at := range 20 {
			key := fmt.Sprint("both ", at)
			done := make(chan struct{})
			go func() {
				defer close(done)
				lg.sendDeposit(fl.nodesIn("a")[0], key)
			}()
			lg.sendDeposit(fl.nodesIn("b")[0], key)
			<-done
		}
		must.SliceEmpty(fl.t, lg.check())
	})
}

// TestSeedsReplaced starts an instance whose seeds are all dead; it finds the other instances through the platform.
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
