package configuration_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/configuration"
)

// validText is a settings file without faults.
const validText = `[Instance]
Id = entry-1
FailureDomain = a
CallerAddress = 127.0.0.1:1
OperatorAddress = 127.0.0.1:2
PeerAddress = [::1]:3
[Platform]
TableAddress = 127.0.0.1:4
[Operators]
KeyDigest = ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
`

// faultsOf returns the faults of a text, one per line.
func faultsOf(text string) string {
	_, faults := configuration.Parse("s.ini", text)
	lines := []string{}
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

func TestParse(t *testing.T) {
	t.Run("absent keys get their defaults", func(t *testing.T) {
		loaded, faults := configuration.Parse("s.ini", validText)
		must.SliceEmpty(t, faults)
		must.Eq(t, 1000, loaded.GetPeers().GetHeartbeatMs())
		must.Eq(t, "info", loaded.GetLog().GetLevel())
	})
	cases := map[string]struct{ text, fault string }{
		"an unknown key":                     {strings.Replace(validText, "Id =", "Name = x\nId =", 1), `s.ini:2: [Instance] Name = "x": expected one of Id,`},
		"a missing key":                      {strings.Replace(validText, "Id = entry-1\n", "", 1), `[Instance] Id: expected a value`},
		"a unit":                             {validText + "[Peers]\nHeartbeatMs = 10s\n", `HeartbeatMs = "10s": expected a whole number from 20 to 10000, without a unit`},
		"a host name":                        {strings.Replace(validText, "127.0.0.1:4", "table:4", 1), `TableAddress = "table:4": expected an IP number and a port`},
		"an unknown section":                 {validText + "[Colour]\n", `[Colour]: expected one of the sections Instance,`},
		"a repeated key":                     {strings.Replace(validText, "Id =", "Id = b\nId =", 1), `s.ini:3: [Instance] Id: expected one occurrence only`},
		"a key file without its certificate": {validText + "[Tls]\nCallerKeyFile = k\n", `[Tls]: expected both of`},
		"SuspectAfterMs below its minimum":   {validText + "[Peers]\nSuspectAfterMs = 1500\n", `SuspectAfterMs: expected at least twice`},
		"a key before the first section":     {"Id = x\n" + validText, `expected a section header`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, faultsOf(tc.text), tc.fault)
		})
	}
	t.Run("all faults are reported at once", func(t *testing.T) {
		must.GreaterEq(t, 6, strings.Count(faultsOf("[Instance]\nId = a b\n"), "\n"))
	})
}

// FuzzParse checks that no text makes Parse panic or return nil settings.
func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("[Instance\n=\n[]]\n")
	f.Add("[Tls]\nCallerKeyFile=`\n\"\"\"")
	f.Fuzz(func(t *testing.T, text string) {
		loaded, _ := configuration.Parse("fuzz", text)
		must.NotNil(t, loaded)
	})
}
