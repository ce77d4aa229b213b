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
