package document

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/parts"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Parse parses, links and checks a document. It returns all faults of all teams, sorted by team; the document is
// usable only if there are none.
func Parse(text Text) (*Document, []inifile.Fault) {
	ps := &parser{
		bound: map[sectionID]boundSection{}, stages: map[string]*Stage{},
		document: &Document{
			Text: text, Revision: text.Revision,
			Teams: map[string]*Team{}, Ranks: map[string]*Rank{}, Organisations: map[string]*Organisation{},
			Pools: map[string]*Pool{}, Pipelines: map[string]*Pipeline{}, Upstreams: map[string]*Upstream{},
			byKey: map[digest.Sum]*Organisation{},
		},
	}
	for _, team := range text.Teams {
		ps.parseTeam(team)
	}
	ps.link()
	if len(ps.faults) == 0 {
		ps.check()
	}
	sort.SliceStable(ps.faults, func(left, right int) bool {
		return ps.faults[left].Source < ps.faults[right].Source
	})
	return ps.document, ps.faults
}

// sectionID identifies one section of the document.
type sectionID struct {
	kind string
	name string
}

// boundSection is a section with the message filled from it and the team that wrote it; hasFaults says that binding
// reported faults.
type boundSection struct {
	team      string
	section   inifile.Section
	message   proto.Message
	hasFaults bool
}

// parser first collects the sections of all teams and then links them, since they may refer to other teams' sections.
type parser struct {
	document *Document
	bound    map[sectionID]boundSection
	stages   map[string]*Stage
	order    []sectionID
	faults   []inifile.Fault
}

// newMessage returns an empty message for a kind of section, or nil for an unknown kind.
func newMessage(kind string) proto.Message {
	switch kind {
	case "Team":
		return &parts.Team{}
	case "Rank":
		return &parts.Rank{}
	case "Organisation":
		return &parts.Organisation{}
	case "Pool":
		return &parts.Pool{}
	case "Upstream":
		return &parts.Upstream{}
	case "Pipeline":
		return &parts.Pipeline{}
	case "Stage":
		return &parts.Stage{}
	default:
		return nil
	}
}

// fault adds a fault of a section; its line is the key's line, or the header's line if the section lacks the key.
func (ps *parser) fault(bd boundSection, key, value, expected string) {
	line := bd.section.Line
	for _, found := range bd.section.Keys {
		if found.Name == key {
			line = found.Line
		}
	}
	ps.faults = append(ps.faults, inifile.Fault{
		Source: bd.team, Line: line, Section: bd.section.Title(), Key: key, Value: value, Expected: expected,
	})
}

// parseTeam parses and binds the sections of one team.
func (ps *parser) parseTeam(team TeamText) {
	sections, faults := inifile.Parse(team.Team, team.Text)
	ps.faults = append(ps.faults, faults...)
	for _, sc := range sections {
		ps.bindSection(team.Team, sc)
	}
}

// bindSection checks the header of a section and binds its keys.
func (ps *parser) bindSection(team string, sc inifile.Section) {
	bd := boundSection{team: team, section: sc, message: newMessage(sc.Kind)}
	if bd.message == nil {
		ps.fault(bd, "", "", "a kind of section: Team, Rank, Organisation, Pool, Upstream, Pipeline or Stage")
		return
	}
	if !inifile.IsValidName(sc.Name) {
		ps.fault(bd, "", "", "a name after "+sc.Kind+" made of letters, digits, dots, underscores and hyphens")
		return
	}
	if sc.Kind == "Team" && sc.Name != team {
		ps.fault(bd, "", "", "[Team "+team+"], since a team may only state its own keys")
		return
	}
	id := sectionID{sc.Kind, sc.Name}
	if other, taken := ps.bound[id]; taken {
		ps.fault(bd, "", "", "a name that team "+other.team+" does not already use")
		return
	}
	faults := sc.Bind(team, bd.message)
	ps.faults = append(ps.faults, faults...)
	bd.hasFaults = len(faults) > 0
	ps.bound[id] = bd
	ps.order = append(ps.order, id)
}

// link converts the messages to the structs of Document; each kind follows the kinds that it refers to.
func (ps *parser) link() {
	ps.each("Team", ps.linkTeam)
	ps.each("Rank", ps.linkRank)
	ps.each("Pool", ps.linkPool)
	ps.each("Upstream", ps.linkUpstream)
	ps.each("Stage", ps.linkStage)
	ps.each("Pipeline", ps.linkPipeline)
	ps.each("Organisation", ps.linkOrganisation)
	ps.document.sortRanks()
	ps.document.sortUpstreams()
}

// each calls visit for every section of a kind, in the order of the text.
func (ps *parser) each(kind string, visit func(name string, bd boundSection)) {
	for _, id := range ps.order {
		if id.kind == kind {
			visit(id.name, ps.bound[id])
		}
	}
}

// parseDigests returns the digests of texts; binding has reported those that are malformed.
func parseDigests(texts []string) []digest.Sum {
	list := []digest.Sum{}
	for _, text := range texts {
		if sum, ok := digest.Parse(text); ok {
			list = append(list, sum)
		}
	}
	return list
}

func (ps *parser) linkTeam(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Team)
	ps.document.Teams[name] = &Team{Name: name, KeyDigests: parseDigests(message.GetKeyDigests())}
}

func (ps *parser) linkRank(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Rank)
	for _, other := range ps.document.Ranks {
		if other.Precedence == message.GetPrecedence() && !bd.hasFaults {
			ps.fault(bd, "Precedence", "", "a value that rank "+other.Name+" does not already use")
		}
	}
	ps.document.Ranks[name] = &Rank{
		Name: name, Precedence: message.GetPrecedence(),
		Deadline: timer.Milliseconds(message.GetDeadlineMs()), FloorPercent: message.GetFloorPercent(),
	}
}

func (ps *parser) linkPool(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Pool)
	kind := Kind(message.GetKind())
	if kind == Service && message.GetPath() == "" {
		ps.fault(bd, "Path", "", "the path of the call, since the pool is a plain service")
	}
	ps.document.Pools[name] = &Pool{
		Name: name, Kind: kind, StageTime: timer.Milliseconds(message.GetStageMs()),
		RetryPercent: message.GetRetryPercent(), HedgeAfter: timer.Milliseconds(message.GetHedgeAfterMs()),
		AttemptTimeout: timer.Milliseconds(message.GetAttemptTimeoutMs()), Path: message.GetPath(),
	}
}

func (ps *parser) linkUpstream(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Upstream)
	pool, found := ps.document.Pools[message.GetPool()]
	if !found {
		ps.missing(bd, "Pool", "Pool", message.GetPool())
		return
	}
	ps.document.Upstreams[name] = &Upstream{
		Name: name, Pool: pool, Address: message.GetAddress(), FailureDomain: message.GetFailureDomain(),
		Slots: message.GetSlots(), Incarnation: message.GetIncarnation(), ChecksFence: message.GetChecksFence(),
		ChecksOrders: message.GetChecksOrders(), Model: message.GetModel(), Adapters: message.GetAdapters(), SoftwareVersion: message.GetSoftwareVersion(),
	}
}

// missing reports a reference to a section that does not exist.
func (ps *parser) missing(bd boundSection, key, kind, name string) {
	if name == "" {
		return
	}
	ps.fault(bd, key, name, "the name of a ["+kind+"] section of any team")
}

func (ps *parser) linkPipeline(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Pipeline)
	pipeline := &Pipeline{Name: name, Idempotent: message.GetIdempotent()}
	seen := map[string]bool{}
	for _, stageName := range message.GetStages() {
		if seen[stageName] {
			ps.fault(bd, "Stages", stageName, "each stage once: a repeated stage makes a cycle")
			continue
		}
		seen[stageName] = true
		if _, found := ps.bound[sectionID{"Stage", stageName}]; !found {
			ps.missing(bd, "Stages", "Stage", stageName)
		}
		if stage, linked := ps.stages[stageName]; linked {
			pipeline.Stages = append(pipeline.Stages, stage)
		}
	}
	ps.document.Pipelines[name] = pipeline
}

func (ps *parser) linkStage(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Stage)
	pool, found := ps.document.Pools[message.GetPool()]
	if !found {
		ps.missing(bd, "Pool", "Pool", message.GetPool())
		return
	}
	ps.stages[name] = &Stage{
		Name: name, Pool: pool, Candidates: message.GetCandidates(), MaxTokens: message.GetMaxTokens(),
		Brownout: Brownout(message.GetBrownout()), Adapter: message.GetAdapter(),
	}
}

func (ps *parser) linkOrganisation(name string, bd boundSection) {
	message, _ := bd.message.(*parts.Organisation)
	organisation := &Organisation{
		Name: name, Weight: message.GetWeight(), KeyDigests: parseDigests(message.GetKeyDigests()), Pipelines: map[string]bool{},
	}
	for _, pipeline := range message.GetPipelines() {
		if _, found := ps.document.Pipelines[pipeline]; !found {
			ps.missing(bd, "Pipelines", "Pipeline", pipeline)
		}
		organisation.Pipelines[pipeline] = true
	}
	for _, sum := range organisation.KeyDigests {
		if other, taken := ps.document.byKey[sum]; taken && other != organisation {
			ps.fault(bd, "KeyDigests", sum.String(), "a key that organisation "+other.Name+" does not already use")
		}
		ps.document.byKey[sum] = organisation
	}
	ps.document.Organisations[name] = organisation
}
