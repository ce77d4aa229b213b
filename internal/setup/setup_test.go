package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

const validSettings = "node = \"n1\"\nzone = \"suva\"\nplatform = \"127.0.0.1:1\"\ncell_lease = \"6s\"\npeers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"

func TestFlagsOverrideEnvironmentAndEnvironmentOverridesFile(t *testing.T) {
	is := is.New(t)
	t.Setenv("GREENGAGELINE_NODE", "from-env")
	t.Setenv("GREENGAGELINE_ZONE", "env-zone")
	s, err := Read([]string{"-config", writeSettings(t, validSettings), "-node", "from-flag"})
	is.NoErr(err)
	is.Equal(s.Node, "from-flag")
	is.Equal(s.Zone, "env-zone")
	is.Equal(s.CellLease, 6*time.Second)
	is.Equal(s.Peers, "127.0.0.1:1,127.0.0.1:2")
}

func TestBadSettingsNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":          {validSettings + "colour = \"red\"\n", `node.toml:6: key "colour" is not a setting`},
		"bad duration":         {strings.Replace(validSettings, "6s", "soon", 1), `node.toml:4: key "cell_lease"`},
		"out of range":         {strings.Replace(validSettings, "6s", "2h", 1), `node.toml:4: setting "cell_lease" is 2h0m0s`},
		"missing":              {"zone = \"z\"\nplatform = \"a:1\"\n", `setting "node" is empty`},
		"broken syntax":        {"node = \n", `node.toml:1: `},
		"conflicting settings": {validSettings + "cell_renew = \"5s\"\n", "at most a third of cell_lease"},
		"wrong type":           {strings.Replace(validSettings, `"suva"`, "{ a = 1 }", 1), `node.toml:2: key "zone"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read([]string{"-config", writeSettings(t, c.text)})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error names file, line and key
		})
	}
}

func TestPageEqualsDeclarations(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(data), Page())) // docs/SETTINGS.md equals the declarations
}

func TestPeerListOmitsOwnAddress(t *testing.T) {
	is := is.New(t)
	s := Settings{PeerListen: "a:1", Peers: "a:1, b:2,,c:3"}
	is.Equal(s.PeerList(), []string{"b:2", "c:3"})
}
