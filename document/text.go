package document

import "sort"

// TeamText is the INI text of one team's sections. Revision is the document revision that last changed it.
type TeamText struct {
	Team     string
	Revision int64
	Text     string
}

// Text is one revision of the document as text; Teams is sorted by name.
type Text struct {
	Revision int64
	Teams    []TeamText
}

// With returns a copy with one team's text replaced or added.
func (tx Text) With(replacement TeamText) Text {
	changed := Text{Revision: tx.Revision}
	for _, team := range tx.Teams {
		if team.Team != replacement.Team {
			changed.Teams = append(changed.Teams, team)
		}
	}
	changed.Teams = append(changed.Teams, replacement)
	sort.Slice(changed.Teams, func(left, right int) bool {
		return changed.Teams[left].Team < changed.Teams[right].Team
	})
	return changed
}

// Team returns the text of one team and whether the team has one.
func (tx Text) Team(name string) (TeamText, bool) {
	for _, team := range tx.Teams {
		if team.Team == name {
			return team, true
		}
	}
	return TeamText{}, false
}
