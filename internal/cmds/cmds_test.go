package cmds

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(context.Background(), args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func newConfigFolder(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "10.toml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// newPlatformSettingsFile writes a platform settings file with the given line under
// bounds and returns its path.
func newPlatformSettingsFile(t *testing.T, bound string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.yaml")
	text := `nodeName: n
ip: "10.0.0.1"
listen: {front: "10.0.0.1:1", ready: "10.0.0.1:2"}
portRange: [7000, 7015]
bounds:
  revokeMs: 5000
  ` + bound + `
platform: {address: "10.0.0.2:1"}
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestTraceReadsFilesAndStandardInput(t *testing.T) {
	is := is.New(t)
	line := `{"node":"n","time":"2026-01-01T00:00:00.000Z","name":"work-ended","job":"abc","state":"completed","epoch":1}` + "\n"
	path := filepath.Join(t.TempDir(), "n.log")
	is.NoErr(os.WriteFile(path, []byte(line), 0o600))
	for name, args := range map[string][]string{"a file": {"trace", "abc", path}, "standard input": {"trace", "abc"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(Main(context.Background(), args, strings.NewReader(line), &out, &errOut), exitOK)
			is.True(strings.Contains(out.String(), "shown as completed"))
		})
	}
}

// startFakeNode serves the given status and body for every request and returns its
// address.
func startFakeNode(t *testing.T, status int, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func TestExitCodesAndMessages(t *testing.T) {
	refused := startFakeNode(t, 422, `{"error":"impossible-shape","message":"no room","ran":"no","next":"change the request"}`)
	unknown := startFakeNode(t, 409, `{"error":"no-answer","message":"lost","ran":"unknown","next":"ask again"}`)
	submit := func(addr string) []string {
		return []string{"submit", "-nodes", addr, "-workspace", "a", "-timeout", "1s"}
	}
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"no subcommand":                   {nil, exitUsage, ""},
		"unknown flag":                    {[]string{"submit", "-colour", "red"}, exitUsage, "colour"},
		"missing argument":                {[]string{"explain"}, exitUsage, "want one job id"},
		"missing settings":                {[]string{"serve", "-node", "n1"}, exitUsage, `setting "zone" is empty`},
		"invalid field":                   {[]string{"submit", "-workspace", "a/b"}, exitRefused, `field "workspace"`},
		"refused":                         {submit(refused), exitRefused, "change the request"},
		"outcome not known":               {submit(unknown), exitUnknown, "ask again"},
		"no node answers":                 {submit("127.0.0.1:1"), exitFailed, "no entry node answered"},
		"valid folder":                    {[]string{"check", "-folder", newConfigFolder(t, "[cells.viti]\nzones = [\"suva\"]\n")}, exitOK, ""},
		"valid platform settings":         {[]string{"edge", "-check", "-settings", newPlatformSettingsFile(t, "maxHoldMs: 6000")}, exitOK, ""},
		"invalid platform settings":       {[]string{"edge", "-check", "-settings", newPlatformSettingsFile(t, "maxHoldMs: 0")}, exitUsage, "bounds.maxHoldMs is 0"},
		"wrong type in platform settings": {[]string{"edge", "-check", "-settings", newPlatformSettingsFile(t, "maxHoldMs: long")}, exitUsage, "line 7"},
		"missing platform settings":       {[]string{"edge", "-check", "-settings", "none.yaml"}, exitUsage, "none.yaml"},
		"trace without id":                {[]string{"trace"}, exitUsage, "want the id"},
		"trace of unknown id":             {[]string{"trace", "abc"}, exitUnknown, "no line of 0 is about request abc"},
		"invalid folder":                  {[]string{"check", "-folder", newConfigFolder(t, "colour = 1\n")}, exitUsage, `10.toml:1: key "colour"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := runCommand(c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(errOut, c.want)) // the message names the fault
		})
	}
}

func TestEverySubcommandHasHelpWithAnExample(t *testing.T) {
	a := &app{out: &bytes.Buffer{}, errOut: &bytes.Buffer{}}
	for _, cmd := range a.root().Subcommands {
		leaves := cmd.Subcommands
		if len(leaves) == 0 {
			leaves = append(leaves, cmd)
		}
		for _, leaf := range leaves {
			if leaf.ShortHelp == "" || !strings.Contains(leaf.LongHelp, "Example:") {
				t.Errorf("%s %s lacks help or an example", cmd.Name, leaf.Name)
			}
		}
	}
}

func TestDemoCompletesWithinOneMinute(t *testing.T) {
	if testing.Short() {
		t.Skip("the demo takes seconds of real time")
	}
	is := is.New(t)
	began := time.Now()
	code, out, errOut := runCommand("demo")
	if code != exitOK {
		t.Fatalf("exit code %d: %s\n%s", code, errOut, out)
	}
	is.True(time.Since(began) < time.Minute)
	for _, want := range []string{"gang", "cutting-path", "reclaims", "took the cell over", "all of it went as promised"} {
		is.True(strings.Contains(out, want))
	}
}
