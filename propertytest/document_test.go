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

// editor is an operator that appends comments to its team's text.
type editor struct {
	fl        *fleet
	team      string
	accepted  []string
	semaphore chan struct{}
}

// edit appends one comment to the team's current text and returns the result; it retries while that is undecided.
func (ed *editor) edit(nd *node, number int) operator.EditResult {
	now := ed.fl.teamTextFrom(nd, ed.team)
	text := fmt.Sprintf("%s; edit %s-%d\n", now.Text, ed.team, number)
	result := operator.EditResult{}
	for range 10 {
		result = ed.fl.putTeam(nd, ed.team, now.Revision, text, fmt.Sprintf("%s-%d-%s", ed.team, number, nd.id))
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

// lostEdits returns a violation for each accepted edit that is not in the document exactly once.
func (ed *editor) lostEdits() []string {
	violations := []string{}
	text := ed.fl.teamText(ed.team).Text
	for _, line := range ed.accepted {
		if strings.Count(text, line) != 1 {
			violations = append(violations, fmt.Sprintf("accepted edit %q is in the document %d times", line, strings.Count(text, line)))
		}
	}
	return violations
}

func (fl *fleet) teamTextFrom(nd *node, team string) document.TeamText {
	whole := document.Text{}
	fl.callOperatorAPI(nd, "GET", "/v1/document", nil, &whole)
	found, _ := whole.Team(team)
	return found
}

// editConcurrently lets two operators per team edit at the same time through different instances.
func (fl *fleet) editConcurrently(rounds int) []*editor {
	editors := []*editor{}
	group := sync.WaitGroup{}
	for _, team := range []string{"base", "models"} {
		for editorIndex := range 2 {
			ed := &editor{fl: fl, team: team}
			editors = append(editors, ed)
			group.Go(func() {
				for round := range rounds {
					nodes := fl.live()
					ed.edit(nodes[(editorIndex+round)%len(nodes)], 100*editorIndex+round)
					time.Sleep(time.Duration(100+37*editorIndex) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return editors
}

// checkAllEdits returns the lost edits of all editors and the number of accepted edits.
func checkAllEdits(editors []*editor) (violations []string, accepted int) {
	for _, ed := range editors {
		violations = append(violations, ed.lostEdits()...)
		accepted += len(ed.accepted)
	}
	return violations, accepted
}

func TestEdits(t *testing.T) {
	faults := map[string]func(ft *fakeTable){
		"none":                                   func(*fakeTable) {},
		"responses are lost":                     func(ft *fakeTable) { ft.lostResponsePercent = 30 },
		"transactions commit late":               func(ft *fakeTable) { ft.lateCommitPercent = 20 },
		"responses are lost or commits are late": func(ft *fakeTable) { ft.lostResponsePercent, ft.lateCommitPercent = 20, 10 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 20, 4, func(fl *fleet) {
				fl.setTable(fault)
				editors := fl.editConcurrently(15)
				fl.setTable(func(ft *fakeTable) { ft.lostResponsePercent, ft.lateCommitPercent = 0, 0 })
				time.Sleep(20 * time.Second)
				violations, accepted := checkAllEdits(editors)
				must.SliceEmpty(fl.t, violations)
				must.Positive(fl.t, accepted)
			})
		})
	}
	t.Run("the check finds a table service that ignores conditions", func(t *testing.T) {
		withFleet(t, 20, 4, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.ignoreConditions = true })
			violations, _ := checkAllEdits(fl.editConcurrently(15))
			must.SliceNotEmpty(fl.t, violations)
		})
	})
}

// maxPropagation is the time within which every instance must use an accepted revision.
const maxPropagation = 2 * time.Second

// acceptEdit makes an edit, requires that it is accepted and returns its revision.
func (fl *fleet) acceptEdit(number int) int64 {
	result := (&editor{fl: fl, team: "base"}).edit(fl.live()[0], number)
	must.Eq(fl.t, "Accepted", result.Outcome)
	return result.Revision
}

func TestInForce(t *testing.T) {
	t.Run("eight instances use it within two seconds although messages are lost", func(t *testing.T) {
		withFleet(t, 21, 8, func(fl *fleet) {
			fl.setLoss(5)
			for number := range 20 {
				revision := fl.acceptEdit(number)
				fl.eventually(maxPropagation, "the revision is in force", func() bool { return fl.lowestRevision() >= revision })
				time.Sleep(3 * time.Second)
			}
		})
	})
	t.Run("an instance uses it after a pause", func(t *testing.T) {
		withFleet(t, 22, 8, func(fl *fleet) {
			paused := fl.live()[7]
			paused.freeze()
			revision := fl.acceptEdit(1)
			time.Sleep(30 * time.Second)
			paused.thaw()
			fl.eventually(maxPropagation, "the revision is in force", func() bool { return paused.core.Revision() >= revision })
		})
	})
	t.Run("a new instance uses it while the platform is down", func(t *testing.T) {
		withFleet(t, 23, 4, func(fl *fleet) {
			revision := fl.acceptEdit(1)
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fresh := fl.startNode()
			fl.eventually(5*time.Second, "the new instance has the document", func() bool { return fresh.core.Revision() == revision })
		})
	})
	t.Run("a new instance without platform and peers is not ready and reports the reason", func(t *testing.T) {
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

// TestNeverReverts kills and replaces instances and separates failure domains while peers respond with old documents. The
// program itself checks that an instance's revision never decreases.
func TestNeverReverts(t *testing.T) {
	withFleet(t, 25, 6, func(fl *fleet) {
		fl.setStale(50)
		for number := range 12 {
			revision := fl.acceptEdit(number)
			switch number % 3 {
			case 0:
				fl.live()[number%len(fl.live())].kill()
				fl.startNode()
			case 1:
				fl.cutDomains("a", "b", true)
			case 2:
				fl.restoreLinks()
			}
			fl.eventually(15*time.Second, "the revision is in force", func() bool { return fl.lowestRevision() >= revision })
		}
	})
}

func TestEditRefusals(t *testing.T) {
	withFleet(t, 26, 2, func(fl *fleet) {
		nd := fl.live()[0]
		base := fl.teamText("base")
		t.Run("a conflict returns the current text", func(t *testing.T) {
			result := fl.putTeam(nd, "base", base.Revision-1, base.Text, "old")
			must.Eq(t, "Conflict", result.Outcome)
			must.Eq(t, base.Text, result.Theirs)
		})
		t.Run("all faults are listed with their lines", func(t *testing.T) {
			result := fl.putTeam(nd, "base", base.Revision, base.Text+"[Rank Odd]\nPrecedence = 300\nColour = red\n[Pipeline p]\nStages = nowhere\n", "bad")
			must.Eq(t, "Invalid", result.Outcome)
			must.Len(t, 4, result.Faults)
			must.StrContains(t, strings.Join(result.Faults, "\n"), "Colour")
		})
		t.Run("the same edit id counts once", func(t *testing.T) {
			text := base.Text + "; once\n"
			first := fl.putTeam(nd, "base", base.Revision, text, "same")
			second := fl.putTeam(fl.live()[1], "base", base.Revision, text, "same")
			must.Eq(t, "Accepted", second.Outcome)
			must.Eq(t, first.Revision, second.Revision)
		})
	})
}

// TestFetchSendsChanges checks that an edit of one team's text does not send other teams' texts between instances.
func TestFetchSendsChanges(t *testing.T) {
	withFleet(t, 27, 4, func(fl *fleet) {
		team := fl.teamText("models")
		fl.resetTraffic()
		base := fl.teamText("base")
		result := fl.putTeam(fl.live()[0], "base", base.Revision, base.Text+"; small\n", "small")
		fl.eventually(maxPropagation, "the revision is in force", func() bool { return fl.lowestRevision() >= result.Revision })
		// Three instances fetch the document; the unchanged text alone would take this many bytes.
		must.Less(fl.t, 3*len(team.Text), fl.resetTraffic().bytes)
		must.Eq(fl.t, team.Text, fl.teamTextFrom(fl.live()[3], "models").Text)
	})
}
