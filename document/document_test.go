package document_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
)

const ranks = "[Rank Urgent]\nPrecedence = 0\nDeadlineMs = 4000\n"

var organisation = "[Organisation guild]\nKeyDigests = " + digest.OfKey("guild-key").String() + "\n"

const models = `[Pool engines]
Kind = Engine
StageMs = 100
[Upstream e1]
Pool = engines
Address = 127.0.0.1:1
FailureDomain = a
[Stage generate]
Pool = engines
[Pipeline draft]
Stages = generate
`

func parse(texts ...string) (*document.Document, string) {
	whole := document.Text{Revision: 1}
	for at, text := range texts {
		whole = whole.With(document.TeamText{Team: string(rune('a' + at)), Revision: 1, Text: text})
	}
	parsed, faults := document.Parse(whole)
	lines := []string{}
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return parsed, strings.Join(lines, "\n")
}

func TestParse(t *testing.T) {
	t.Run("sections of several teams make one document", func(t *testing.T) {
		parsed, faults := parse(ranks+organisation, models)
		must.Eq(t, "", faults)
		must.Eq(t, "e1", parsed.Pipelines["draft"].Stages[0].Pool.Upstreams[0].Name)
		found, known := parsed.OrganisationByKey("guild-key")
		must.True(t, known)
		must.Eq(t, "guild", found.Name)
		_, known = parsed.OrganisationByKey("other-key")
		must.False(t, known)
	})
	t.Run("no key is known once no organisation has one", func(t *testing.T) {
		for _, text := range []string{"", "[Organisation guild]\nWeight = 1\n", "[Organisation guild]\nKeyDigests =\n"} {
			parsed, faults := parse(ranks+text, models)
			if faults != "" {
				continue
			}
			for _, key := range []string{"", "guild-key"} {
				_, known := parsed.OrganisationByKey(key)
				must.False(t, known, must.Sprintf("%q with %q", text, key))
			}
		}
	})
	cases := map[string]struct{ text, fault string }{
		"a cycle of stages":                {strings.Replace(models, "Stages = generate", "Stages = generate, generate", 1), "a repeated stage makes a cycle"},
		"a missing stage":                  {strings.Replace(models, "Stages = generate", "Stages = nowhere", 1), `b:11: [Pipeline draft] Stages = "nowhere": expected the name of a [Stage] section`},
		"a missing pool":                   {models + "[Stage other]\nPool = nowhere\n", `[Stage other] Pool = "nowhere"`},
		"a pool without upstreams":         {models + "[Pool empty]\nKind = Encoder\n[Stage s]\nPool = empty\n[Pipeline p]\nStages = s\n", "has at least one upstream"},
		"stages longer than any deadline":  {strings.Replace(models, "StageMs = 100", "StageMs = 9000", 1), "stages of at most 4s together"},
		"another team's keys":              {models + "[Team a]\n", "a team may only state its own keys"},
		"another team's name":              {models + ranks, "a name that team a does not already use"},
		"a repeated address":               {models + "[Upstream e2]\nPool = engines\nAddress = 127.0.0.1:1\nFailureDomain = a\n", "an address that upstream e1 does not already use"},
		"a non-idempotent chain":           {models + "[Stage two]\nPool = engines\n[Pipeline p]\nStages = generate, two\nIdempotent = false\n", "a single stage"},
		"a last stage that may be skipped": {strings.Replace(models, "[Stage generate]\n", "[Stage generate]\nBrownout = Skip\n", 1), "it makes the answer"},
		"an unknown kind":                  {models + "[Colour red]\n", "expected a kind of section"},
		"a service without a path":         {models + "[Pool s]\nKind = Service\n", "the path of the call"},
		"a sum of floors over 90":          {models + "[Rank B]\nPrecedence = 1\nDeadlineMs = 1\nFloorPercent = 60\n[Rank C]\nPrecedence = 2\nDeadlineMs = 1\nFloorPercent = 60\n", "floors of at most 90 percent"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, faults := parse(ranks+organisation, tc.text)
			must.StrContains(t, faults, tc.fault)
		})
	}
}

// FuzzParse checks that no text makes Parse panic or return a nil document.
func FuzzParse(f *testing.F) {
	f.Add(ranks + organisation + models)
	f.Add("[Pool p]\nKind = Engine\n[Stage s]\nPool = p\n[Pipeline q]\nStages = s,,\n")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, _ := document.Parse(document.Text{Revision: 1, Teams: []document.TeamText{{Team: "t", Text: text}}})
		must.NotNil(t, parsed)
	})
}

// sizedDocument returns a document with the given numbers of engines, organisations and pipelines.
func sizedDocument(engines, organisations, pipelines int) document.Text {
	text := &strings.Builder{}
	text.WriteString(ranks + "[Pool engines]\nKind = Engine\nStageMs = 500\n")
	for at := range engines {
		fmt.Fprintf(text, "[Upstream e%d]\nPool = engines\nAddress = 10.0.%d.%d:9000\nFailureDomain = d%d\nSlots = 8\nModel = base\n", at, at/250, at%250, at%4)
	}
	for at := range organisations {
		fmt.Fprintf(text, "[Organisation o%d]\nKeyDigests = %s\n", at, digest.OfKey(fmt.Sprint("key ", at)))
	}
	for at := range pipelines {
		fmt.Fprintf(text, "[Stage s%d]\nPool = engines\n[Pipeline p%d]\nStages = s%d\n", at, at, at)
	}
	return document.Text{Revision: 1, Teams: []document.TeamText{{Team: "t", Revision: 1, Text: text.String()}}}
}

// BenchmarkParse parses documents of three sizes; the last is the largest that the system is designed for.
func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ engines, organisations, pipelines int }{{26, 5, 5}, {150, 65, 9}, {600, 260, 36}} {
		b.Run(fmt.Sprintf("%d engines", size.engines), func(b *testing.B) {
			text := sizedDocument(size.engines, size.organisations, size.pipelines)
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := document.Parse(text); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
			b.ReportMetric(float64(len(text.Teams[0].Text)), "text-bytes")
		})
	}
}
