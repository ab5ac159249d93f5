package peer

import (
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/news"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

func toWireMember(mb member.Member) *wire.Member {
	return &wire.Member{
		Id: mb.ID, Address: mb.Address, FailureDomain: mb.FailureDomain, Incarnation: mb.Incarnation,
		Liveness: wire.Liveness(mb.Liveness),
	}
}

func fromWireMember(mb *wire.Member) member.Member {
	return member.Member{
		ID: mb.GetId(), Address: mb.GetAddress(), FailureDomain: mb.GetFailureDomain(),
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

func toWireLeaving(list []news.Leaving) []*wire.Leaving {
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

func fromWireDocument(text *wire.DocumentText) document.Text {
	converted := document.Text{Revision: text.GetRevision()}
	for _, team := range text.GetTeams() {
		converted.Teams = append(converted.Teams, document.TeamText{
			Team: team.GetTeam(), Revision: team.GetRevision(), Text: team.GetText(),
		})
	}
	return converted
}
