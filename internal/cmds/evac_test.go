package cmds

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a command that requests an evacuation where it should list or withdraw.
func TestEvacuateCommand(t *testing.T) {
	cases := map[string]struct {
		args           []string
		code           int
		method, inBody string
	}{
		"list":             {nil, exitOK, http.MethodGet, ""},
		"request":          {[]string{"-author", "me", "suva"}, exitOK, http.MethodPost, `{"zone":"suva","author":"me","at_ms":0}`},
		"withdraw":         {[]string{"-author", "me", "-off", "suva"}, exitOK, http.MethodPost, `"withdrawn":true`},
		"withdraw no zone": {[]string{"-off"}, exitUsage, "", ""},
		"more than one":    {[]string{"suva", "nausori"}, exitUsage, "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			method, body := "", ""
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				method, body = r.Method, string(data)
				is.Equal(r.URL.Path, "/v1/evacuations")
				_, _ = io.WriteString(w, `[{"zone":"suva","author":"me","at_ms":1000}]`)
			}))
			defer s.Close()
			code, out, _ := runCommand(append([]string{"evacuate", "-nodes", strings.TrimPrefix(s.URL, "http://")}, c.args...)...)
			is.Equal(code, c.code)
			is.Equal(method, c.method)
			is.True(strings.Contains(body, c.inBody))
			is.Equal(code == exitOK, strings.Contains(out, "suva evacuated by me at 1970-01-01T00:00:01Z"))
		})
	}
}
