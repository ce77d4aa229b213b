package cell

import (
	"errors"

	"greengageline/internal/event"
	"greengageline/internal/place"
)

// errEvacuated is why a start was not carried out in an evacuated zone.
var errEvacuated = errors.New("the zone of a worker is evacuated")

// isEvacuated reports whether nothing may start in the zone, as far as this node has read.
func (h *Host) isEvacuated(zone string) bool { return h.Evacuated != nil && h.Evacuated()[zone] }

// applyEvacuation tells the engine whether the worker's zone is evacuated. Its jobs go on.
func (o *Owner) applyEvacuation(w *workerState) {
	on := o.host.isEvacuated(w.vm.Zone)
	if on == w.evacuated {
		return
	}
	w.evacuated = on
	switch {
	case w.leaving || w.lost:
	case on:
		o.stepEngine(place.WorkerLeaving{ID: w.vm.ID, JobsStay: true})
	default:
		o.stepEngine(place.WorkerUp{VM: w.vm})
	}
}

// logEvacuations logs which zones of the cell have been evacuated, or no longer are, since the last call.
func (o *Owner) logEvacuations() {
	workers := map[string]int{}
	for _, w := range o.workers {
		if w.listed {
			workers[w.vm.Zone]++
		}
	}
	for zone, n := range workers {
		on := o.host.isEvacuated(zone)
		if on == o.evacuated[zone] {
			continue
		}
		if o.evacuated == nil {
			o.evacuated = map[string]bool{}
		}
		o.evacuated[zone] = on
		o.host.Log.Emit(event.ZoneEvacuated).Str("cell", o.cell).Str("zone", zone).Bool("evacuated", on).Int("workers", n).Uint64("epoch", o.epoch).Send()
	}
}

// zonesOf returns the zones of the workers of a decision.
func (o *Owner) zonesOf(d place.Decision) []string {
	var zones []string
	for _, a := range d.Assignments {
		if w := o.workers[a.Worker]; w != nil {
			zones = append(zones, w.vm.Zone)
		}
	}
	return zones
}

// inEvacuatedZone reports whether a member would start in an evacuated zone.
func (s *starter) inEvacuatedZone() bool {
	for _, zone := range s.zones {
		if s.o.host.isEvacuated(zone) {
			return true
		}
	}
	return false
}
