package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that takes an older or incomplete view of the evacuated zones for the newest.
func TestEvacuationViews(t *testing.T) {
	full := Change{Full: true, Version: 10, Evacuations: []Evacuation{{"a", true, 4}}}
	cases := map[string]struct {
		changes   []Change
		zones     map[string]bool
		confirmed time.Duration // number of the change that was last shown to be the newest
	}{
		"none":                   {nil, nil, 0},
		"a feed before any read": {[]Change{{Version: 3, Evacuations: []Evacuation{{"a", true, 3}}}}, nil, 0},
		"a full read":            {[]Change{full}, map[string]bool{"a": true}, 1},
		"nothing new":            {[]Change{full, {Version: 10}}, map[string]bool{"a": true}, 2},
		"more changes to come":   {[]Change{full, {Version: 12, Behind: true, Evacuations: []Evacuation{{"b", true, 12}}}}, map[string]bool{"a": true, "b": true}, 1},
		"withdrawn and requested again": {
			[]Change{full, {Version: 13, Evacuations: []Evacuation{{"a", false, 11}, {"a", true, 12}, {"b", true, 12}, {"b", false, 13}}}}, map[string]bool{"a": true}, 2,
		},
		"rows read twice": {
			[]Change{full, {Version: 13, Evacuations: []Evacuation{{"a", false, 13}}}, {Version: 13, Evacuations: []Evacuation{{"a", true, 11}}}}, map[string]bool{}, 3,
		},
		"an older full read": {[]Change{full, {Version: 12, Evacuations: []Evacuation{{"b", true, 12}}}, full}, map[string]bool{"a": true, "b": true}, 2},
		"a newer full read":  {[]Change{full, {Full: true, Version: 12}}, map[string]bool{}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, v := &Node{}, &evacuationView{}
			for i, change := range c.changes {
				n.applyEvacuations(v, change, time.Duration(i+1))
			}
			is.Equal(n.Evacuations().Zones, c.zones)
			is.Equal(n.Evacuations().ConfirmedAt, c.confirmed)
		})
	}
}
