package propertytest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/operator"
)

// editor is an operator that raises a number in its team's text over and over.
type editor struct {
	fl       *fleet
	team     string
	accepted []string
	turn     chan struct{}
}

// edit makes one change from the text as it is and reports the outcome, repeating an undecided one.
func (ed *editor) edit(nd *node, number int) operator.EditResult {
	now := ed.fl.textFrom(nd, ed.team)
	text := fmt.Sprintf("%s; edit %s-%d\n", now.Text, ed.team, number)
	result := operator.EditResult{}
	for range 10 {
		result = ed.fl.put(nd, ed.team, now.Revision, text, fmt.Sprintf("%s-%d-%s", ed.team, number, nd.id))
		if result.Outcome != "Undecided" {
			break
		}
		time.Sleep(time.Second)
	}
	if result.Outcome == "Accepted" {
		ed.accepted = append(ed.accepted, fmt.Sprintf("; edit %s-%d\n", ed.team, number))
	}
	return result
}

// checkKept returns the accepted edits that the document does not hold.
func (ed *editor) checkKept() []string {
	wrong := []string{}
	text := ed.fl.text(ed.team).Text
	for _, line := range ed.accepted {
		if strings.Count(text, line) != 1 {
			wrong = append(wrong, fmt.Sprintf("%q is held %d times", line, strings.Count(text, line)))
		}
	}
	return wrong
}

func (fl *fleet) textFrom(nd *node, team string) document.TeamText {
	whole := document.Text{}
	fl.operate(nd, "GET", "/v1/document", nil, &whole)
	found, _ := whole.Team(team)
	return found
}

// race has two operators a team edit at the same time through different instances.
func (fl *fleet) race(rounds int) []*editor {
	editors := []*editor{}
	group := sync.WaitGroup{}
	for _, team := range []string{"base", "models"} {
		for hand := range 2 {
			ed := &editor{fl: fl, team: team}
			editors = append(editors, ed)
			group.Go(func() {
				for round := range rounds {
					nodes := fl.live()
					ed.edit(nodes[(hand+round)%len(nodes)], 100*hand+round)
					time.Sleep(time.Duration(100+37*hand) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return editors
}

func checkAllKept(editors []*editor) (wrong []string, accepted int) {
	for _, ed := range editors {
		wrong = append(wrong, ed.checkKept()...)
		accepted += len(ed.accepted)
	}
	return wrong, accepted
}

func TestEdits(t *testing.T) {
	faults := map[string]func(ft *fakeTable){
		"none":                     func(*fakeTable) {},
		"answers are lost":         func(ft *fakeTable) { ft.loseAnswer = 30 },
		"transactions land late":   func(ft *fakeTable) { ft.landLate = 20 },
		"answers are lost or late": func(ft *fakeTable) { ft.loseAnswer, ft.landLate = 20, 10 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 20, 4, func(fl *fleet) {
				fl.setTable(fault)
				editors := fl.race(15)
				fl.setTable(func(ft *fakeTable) { ft.loseAnswer, ft.landLate = 0, 0 })
				time.Sleep(20 * time.Second)
				wrong, accepted := checkAllKept(editors)
				must.SliceEmpty(fl.t, wrong)
				must.Positive(fl.t, accepted)
			})
		})
	}
	t.Run("the check finds a table service that ignores conditions", func(t *testing.T) {
		withFleet(t, 20, 4, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.ignoreConditions = true })
			wrong, _ := checkAllKept(fl.race(15))
			must.SliceNotEmpty(fl.t, wrong)
		})
	})
}

// inForceWithin is how soon an accepted revision must be in force on every instance.
const inForceWithin = 2 * time.Second

// change has an operator accepted with one edit and returns its revision.
func (fl *fleet) change(number int) int64 {
	result := (&editor{fl: fl, team: "base"}).edit(fl.live()[0], number)
	must.Eq(fl.t, "Accepted", result.Outcome)
	return result.Revision
}

func TestInForce(t *testing.T) {
	t.Run("on eight instances within two seconds, also with messages lost", func(t *testing.T) {
		withFleet(t, 21, 8, func(fl *fleet) {
			fl.setLoss(5)
			for number := range 20 {
				revision := fl.change(number)
				fl.eventually(inForceWithin, "the revision is in force", func() bool { return fl.lowestRevision() >= revision })
				time.Sleep(3 * time.Second)
			}
		})
	})
	t.Run("on an instance that was paused", func(t *testing.T) {
		withFleet(t, 22, 8, func(fl *fleet) {
			paused := fl.live()[7]
			paused.freeze()
			revision := fl.change(1)
			time.Sleep(30 * time.Second)
			paused.thaw()
			fl.eventually(inForceWithin, "the revision is in force", func() bool { return paused.core.Revision() >= revision })
		})
	})
	t.Run("on a new instance while the platform is down", func(t *testing.T) {
		withFleet(t, 23, 4, func(fl *fleet) {
			revision := fl.change(1)
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fresh := fl.startNode()
			fl.eventually(5*time.Second, "the new instance has the document", func() bool { return fresh.core.Revision() == revision })
		})
	})
	t.Run("a new instance with neither platform nor peers is not ready and says why", func(t *testing.T) {
		withFleet(t, 24, 2, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			for _, nd := range fl.all() {
				nd.kill()
			}
			fresh := fl.startNode()
			time.Sleep(30 * time.Second)
			ready, why := fresh.core.Ready()
			must.False(fl.t, ready)
			must.StrContains(fl.t, why, "no document")
		})
	})
}

// TestNeverReverts kills, replaces and cuts off every instance in turn while old copies of the document keep
// arriving; that a revision never falls is asserted inside the program.
func TestNeverReverts(t *testing.T) {
	withFleet(t, 25, 6, func(fl *fleet) {
		fl.setStale(50)
		for number := range 12 {
			revision := fl.change(number)
			switch number % 3 {
			case 0:
				fl.live()[number%len(fl.live())].kill()
				fl.startNode()
			case 1:
				fl.cutDomains("a", "b", true)
			case 2:
				fl.heal()
			}
			fl.eventually(15*time.Second, "the revision is in force", func() bool { return fl.lowestRevision() >= revision })
		}
	})
}

func TestEditRefusals(t *testing.T) {
	withFleet(t, 26, 2, func(fl *fleet) {
		nd := fl.live()[0]
		base := fl.text("base")
		t.Run("a conflict shows the other text", func(t *testing.T) {
			result := fl.put(nd, "base", base.Revision-1, base.Text, "old")
			must.Eq(t, "Conflict", result.Outcome)
			must.Eq(t, base.Text, result.Theirs)
		})
		t.Run("all faults are listed with their lines", func(t *testing.T) {
			result := fl.put(nd, "base", base.Revision, base.Text+"[Rank Odd]\nPrecedence = 300\nColour = red\n[Pipeline p]\nStages = nowhere\n", "bad")
			must.Eq(t, "Invalid", result.Outcome)
			must.Len(t, 4, result.Faults)
			must.StrContains(t, strings.Join(result.Faults, "\n"), "Colour")
		})
		t.Run("the same edit id counts once", func(t *testing.T) {
			text := base.Text + "; once\n"
			first := fl.put(nd, "base", base.Revision, text, "same")
			second := fl.put(fl.live()[1], "base", base.Revision, text, "same")
			must.Eq(t, "Accepted", second.Outcome)
			must.Eq(t, first.Revision, second.Revision)
		})
	})
}

// TestFetchSendsChanges looks whether an edit of one team's text sends the other teams' texts around.
func TestFetchSendsChanges(t *testing.T) {
	withFleet(t, 27, 4, func(fl *fleet) {
		team := fl.text("models")
		fl.takeTraffic()
		base := fl.text("base")
		result := fl.put(fl.live()[0], "base", base.Revision, base.Text+"; small\n", "small")
		fl.eventually(inForceWithin, "the revision is in force", func() bool { return fl.lowestRevision() >= result.Revision })
		// Three instances fetch: sending them the unchanged text alone would take this much.
		must.Less(fl.t, 3*len(team.Text), fl.takeTraffic().bytes)
		must.Eq(fl.t, team.Text, fl.textFrom(fl.live()[3], "models").Text)
	})
}
