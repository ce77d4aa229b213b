package cmds

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a node that is being drained answers its operator late, with an error, or not at all, while
// jobs still end on it.
func TestDrainWaitsUntilNodeRefusesConnections(t *testing.T) {
	cases := map[string]struct {
		status http.HandlerFunc
		stops  bool
		want   string
	}{
		"status fails, then stops":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, true, "has stopped"},
		"status fails for ever":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, false, "was not seen to stop"},
		"connection is cut":         {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, "was not seen to stop"},
		"status is silent":          {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false, "was not seen to stop"},
		"node answers all the time": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, false, "is still draining"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var polled atomic.Int32
			s := &http.Server{}
			s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/drain" {
					_, _ = w.Write([]byte("{}"))
					return
				}
				if polled.Add(1) == 2 && tc.stops {
					go func() { _ = s.Close() }()
				}
				tc.status(w, r)
			})
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close() }()
			var out, errOut bytes.Buffer
			began := time.Now()
			code := Main(context.Background(), []string{"node", "drain", "-timeout", "1500ms", l.Addr().String()}, strings.NewReader(""), &out, &errOut)
			is.Equal(code == exitOK, tc.stops)
			is.True(strings.Contains(out.String()+errOut.String(), tc.want))
			is.True(time.Since(began) < 4*time.Second)
		})
	}
}
