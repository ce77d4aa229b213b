package metric

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWorkMetricsAreServedAndListed(t *testing.T) {
	is := is.New(t)
	traffic := new(Traffic)
	traffic.Add("start", 500, 100)
	traffic.Add("start", 300, 100)
	is.Equal(traffic.Flows()["start"].Minus(Flow{Messages: 1, Sent: 500}), Flow{Messages: 1, Sent: 300, Received: 200})
	w, err := NewWork(func() WorkGauges { return WorkGauges{Owner: true, Epoch: 3} }, traffic)
	is.NoErr(err)
	w.Call("submit", "done", time.Millisecond)
	w.Ended("completed", time.Second)
	w.Begun(time.Second)
	w.End("done")
	w.Stop(1, time.Second)
	w.Order("start", "done")
	rec := httptest.NewRecorder()
	w.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	is.True(strings.Contains(rec.Body.String(), `traffic_bytes_total{direction="sent",kind="start"} 800`))
	for _, n := range WorkNames {
		if !strings.Contains(rec.Body.String(), n[0]) {
			t.Errorf("metric %s is not served", n[0])
		}
		if !strings.Contains(string(page), "`"+n[0]+"` | "+n[1]) {
			t.Errorf("docs/OPERATIONS.md lacks `%s` | %s", n[0], n[1])
		}
	}
}
