package peer

import (
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

func toWireMember(mb member.Member) *wire.Member {
	return &wire.Member{
		Id: mb.ID, Address: mb.Address, FailureDomain: mb.FailureDomain, Incarnation: mb.Incarnation, MilliCores: mb.MilliCores,
		Liveness: wire.Liveness(mb.Liveness),
	}
}

func fromWireMember(mb *wire.Member) member.Member {
	return member.Member{
		ID: mb.GetId(), Address: mb.GetAddress(), FailureDomain: mb.GetFailureDomain(), MilliCores: mb.GetMilliCores(),
		Incarnation: mb.GetIncarnation(), Liveness: member.Liveness(mb.GetLiveness()),
	}
}

func toWireMembers(list []member.Member) []*wire.Member {
	converted := []*wire.Member{}
	for _, mb := range list {
		converted = append(converted, toWireMember(mb))
	}
	return converted
}

func fromWireMembers(list []*wire.Member) []member.Member {
	converted := []member.Member{}
	for _, mb := range list {
		converted = append(converted, fromWireMember(mb))
	}
	return converted
}

func toWireLeaving(list []gossip.LeavingUpstream) []*wire.Leaving {
	converted := []*wire.Leaving{}
	for _, item := range list {
		converted = append(converted, &wire.Leaving{Upstream: item.Upstream, Incarnation: item.Incarnation})
	}
	return converted
}

func toWireCrashes(list []quarantine.Crash) []*wire.Crash {
	converted := []*wire.Crash{}
	for _, crash := range list {
		converted = append(converted, &wire.Crash{
			Fingerprint: crash.Fingerprint[:], Upstream: crash.Upstream, Id: crash.ID, WallMicros: crash.At.UnixMicro(),
		})
	}
	return converted
}

func fromWireCrash(crash *wire.Crash) quarantine.Crash {
	sum := digest.Sum{}
	copy(sum[:], crash.GetFingerprint())
	return quarantine.Crash{
		Fingerprint: sum, Upstream: crash.GetUpstream(), ID: crash.GetId(), At: time.UnixMicro(crash.GetWallMicros()),
	}
}

func toWireDocument(text document.Text) *wire.DocumentText {
	converted := &wire.DocumentText{Revision: text.Revision}
	for _, team := range text.Teams {
		converted.Teams = append(converted.Teams, &wire.TeamText{Team: team.Team, Revision: team.Revision, Text: team.Text})
	}
	return converted
}

// fromWireDocument converts a document and copies the texts that are marked unchanged from the known document. It
// returns false if the known document lacks one of them.
func fromWireDocument(text *wire.DocumentText, known document.Text) (document.Text, bool) {
	converted := document.Text{Revision: text.GetRevision()}
	for _, team := range text.GetTeams() {
		one := document.TeamText{Team: team.GetTeam(), Revision: team.GetRevision(), Text: team.GetText()}
		if team.GetUnchanged() {
			have, found := known.Team(one.Team)
			if !found || have.Revision != one.Revision {
				return document.Text{}, false
			}
			one = have
		}
		converted.Teams = append(converted.Teams, one)
	}
	return converted, true
}

// toWireKnown returns the revision of each team in a document, without the texts.
func toWireKnown(text document.Text) []*wire.TeamText {
	known := []*wire.TeamText{}
	for _, team := range text.Teams {
		known = append(known, &wire.TeamText{Team: team.Team, Revision: team.Revision})
	}
	return known
}

// omitKnown removes the texts that the receiver has from a document and marks them unchanged.
func omitKnown(text *wire.DocumentText, known []*wire.TeamText) *wire.DocumentText {
	revisions := map[string]int64{}
	for _, team := range known {
		revisions[team.GetTeam()] = team.GetRevision()
	}
	for _, team := range text.GetTeams() {
		if revision, has := revisions[team.GetTeam()]; has && revision == team.GetRevision() {
			team.Text, team.Unchanged = "", true
		}
	}
	return text
}
