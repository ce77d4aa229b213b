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

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(context.Background(), args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func folder(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "10.toml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// sheetFile is the platform's settings with a line of its bounds.
func sheetFile(t *testing.T, bound string) string {
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
			is.Equal(Main(context.Background(), args, strings.NewReader(line), &out, &errOut), exitDone)
			is.True(strings.Contains(out.String(), "shown as completed"))
		})
	}
}

// answering serves one status and body for every request.
func answering(t *testing.T, status int, body string) string {
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
	refused := answering(t, 422, `{"error":"impossible-shape","message":"no room","ran":"no","next":"change the request"}`)
	unknown := answering(t, 409, `{"error":"no-answer","message":"lost","ran":"unknown","next":"ask again"}`)
	submit := func(addr string) []string {
		return []string{"submit", "-nodes", addr, "-workspace", "a", "-timeout", "1s"}
	}
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"no subcommand":    {nil, exitUsage, ""},
		"unknown flag":     {[]string{"submit", "-colour", "red"}, exitUsage, "colour"},
		"missing argument": {[]string{"explain"}, exitUsage, "want one job id"},
		"missing settings": {[]string{"serve", "-node", "n1"}, exitUsage, `setting "zone" is empty`},
		"bad field":        {[]string{"submit", "-workspace", "a/b"}, exitRefused, `field "workspace"`},
		"refused":          {submit(refused), exitRefused, "change the request"},
		"not known":        {submit(unknown), exitUnknown, "ask again"},
		"nobody answers":   {submit("127.0.0.1:1"), exitFailed, "no entry node answered"},
		"good folder":      {[]string{"check", "-folder", folder(t, "[cells.viti]\nzones = [\"suva\"]\n")}, exitDone, ""},
		"good platform":    {[]string{"edge", "-check", "-settings", sheetFile(t, "maxHoldMs: 6000")}, exitDone, ""},
		"bad platform":     {[]string{"edge", "-check", "-settings", sheetFile(t, "maxHoldMs: 0")}, exitUsage, "bounds.maxHoldMs is 0"},
		"no type there":    {[]string{"edge", "-check", "-settings", sheetFile(t, "maxHoldMs: long")}, exitUsage, "line 7"},
		"no such file":     {[]string{"edge", "-check", "-settings", "none.yaml"}, exitUsage, "none.yaml"},
		"trace of nothing": {[]string{"trace"}, exitUsage, "want the id"},
		"not in the logs":  {[]string{"trace", "abc"}, exitUnknown, "no line of 0 is about request abc"},
		"bad folder":       {[]string{"check", "-folder", folder(t, "colour = 1\n")}, exitUsage, `10.toml:1: key "colour"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := run(c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(errOut, c.want)) // the error says what is wrong
		})
	}
}

func TestEverySubcommandHasHelpWithAnExample(t *testing.T) {
	a := &app{out: &bytes.Buffer{}, err: &bytes.Buffer{}}
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

func TestDemoKeepsItsPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("the demo takes seconds of real time")
	}
	is := is.New(t)
	began := time.Now()
	code, out, errOut := run("demo")
	if code != exitDone {
		t.Fatalf("exit code %d: %s\n%s", code, errOut, out)
	}
	is.True(time.Since(began) < time.Minute)
	for _, want := range []string{"gang", "cutting-path", "reclaims", "took the cell over", "all of it went as promised"} {
		is.True(strings.Contains(out, want))
	}
}
