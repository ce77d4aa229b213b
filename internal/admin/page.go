package admin

import (
	"bytes"
	"html/template"

	"github.com/gofiber/fiber/v2"
)

// pageTemplate is the status page; its data is a node.Status.
var pageTemplate = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="5">
<title>greengageline: {{.Node}}</title>
<style>
body{font:15px/1.4 system-ui,sans-serif;margin:2rem;max-width:70rem;color:#222}
table{border-collapse:collapse;margin:.5rem 0 1.5rem}
th,td{border:1px solid #ccc;padding:.25rem .6rem;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}
.bad{background:#fdd}
</style></head><body>
<h1>greengageline on {{.Node}}</h1>
<p>zone {{.Zone}}, configuration generation {{.Generation}} ({{if .Fresh}}fresh{{else}}<b class="bad">not fresh: nothing is started</b>{{end}}),
{{.Targets}} targets, {{.FreeSlots}} free slots here{{if .Draining}}, <b class="bad">draining</b>{{end}}</p>
<h2>Nodes</h2><table><tr><th>node</th><th>address</th><th>zone</th><th>generation</th><th></th></tr>
{{range .Nodes}}<tr><td>{{.Node}}</td><td>{{.Addr}}</td><td>{{.Zone}}</td><td class="n">{{.Generation}}</td><td>{{if .Draining}}draining{{end}}</td></tr>{{end}}</table>
<h2>Cells</h2><table><tr><th>cell</th><th>owner</th><th>epoch</th><th>workers</th><th>accelerators</th><th>open</th><th>queued</th><th>running</th><th>held gangs</th><th>quarantined</th><th>fragmentation</th><th>at risk</th></tr>
{{range .Cells}}<tr><td>{{.Cell}}</td><td>{{.Owner}}</td><td class="n">{{.Epoch}}</td>
{{with .Stats}}<td class="n">{{.Workers}}</td><td class="n">{{.Accelerators}}</td><td class="n">{{.Open}}</td><td class="n">{{.Queued}}</td><td class="n">{{.Running}}</td><td class="n">{{.Holds}}</td><td class="n">{{.Quarantined}}</td><td class="n">{{printf "%.3f" .Fragmentation}}</td><td class="n{{if .AtRisk}} bad{{end}}">{{.AtRisk}}</td>{{else}}<td colspan="9">ask its owner</td>{{end}}</tr>{{end}}</table>
{{if .Workspaces}}<h2>Workspaces in the cells owned here (accelerators)</h2>
<table><tr><th>workspace</th><th>guaranteed</th><th>in use</th><th>of it without a share</th><th>jobs queued</th><th>at risk</th></tr>
{{range .Workspaces}}<tr><td>{{.Name}}</td><td class="n">{{.Guaranteed}}</td><td class="n">{{.InUse}}</td><td class="n">{{.Borrowed}}</td><td class="n">{{.Queued}}</td><td class="n{{if .AtRisk}} bad{{end}}">{{.AtRisk}}</td></tr>{{end}}</table>{{end}}
</body></html>
`))

func (a *API) page(c *fiber.Ctx) error {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, a.Node.Status()); err != nil {
		return c.Status(fiber.StatusInternalServerError).SendString(err.Error())
	}
	c.Type("html")
	return c.Send(b.Bytes())
}
