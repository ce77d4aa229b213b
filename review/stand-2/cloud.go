package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// machine is a machine of the platform; its worker is one life of it.
type machine struct {
	id     string
	rack   string
	worker *process
	state  string
	lives  int
	// upkeeps are the waves whose upkeep has begun.
	upkeeps []int64
}

// cloud is a stand-in of the platform's service for machines.
type cloud struct {
	w    *world
	addr string

	mu       sync.Mutex
	machines map[string]*machine
}

const maintenance = 2 * time.Second

func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/v1/machines":
		list := []map[string]any{}
		for _, m := range c.machines {
			id := ""
			if m.state == "up" {
				id = m.worker.name
			}
			list = append(list, map[string]any{
				"machine": m.id, "pool": service, "state": m.state, "zone": "z1", "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpu": 8}, "id": id,
			})
		}
		slices.SortFunc(list, func(a, b map[string]any) int {
			if a["machine"].(string) < b["machine"].(string) {
				return -1
			}
			return 1
		})
		answer(out, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
	case "/v1/machine-upkeep":
		var in struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		m := c.machines[in.Machine]
		status, reason := http.StatusOK, ""
		switch {
		case m == nil:
			status = http.StatusBadRequest
		case slices.Contains(m.upkeeps, in.Wave): // already done
		case !c.inWave(in.Wave, in.Machine):
			status, reason = http.StatusConflict, "wave"
		case m.state != "up":
			status, reason = http.StatusConflict, "busy"
		default:
			c.begin(m, in.Wave)
		}
		c.w.say("platform: upkeep of %s for wave %d asked by %s, generation %s: %d %s", in.Machine, in.Wave,
			r.Header.Get("X-Greengageline-Duty-Holder"), r.Header.Get("X-Greengageline-Fencing-Token"), status, reason)
		answer(out, status, map[string]string{"reason": reason})
	default:
		http.NotFound(out, r)
	}
}

// inWave reports whether a machine is of a wave, by the operator's row.
func (c *cloud) inWave(n int64, id string) bool {
	var wave struct {
		Machines []string `json:"machines"`
	}
	return c.w.store.value("op", waveKey(n), &wave) && slices.Contains(wave.Machines, id)
}

// begin takes a machine down; a new worker joins after the maintenance. The caller holds mu.
func (c *cloud) begin(m *machine, wave int64) {
	m.state = "upkeep"
	m.upkeeps = append(m.upkeeps, wave)
	m.lives++
	old, life := m.worker, m.lives
	go func() {
		c.w.crash(old)
		c.w.store.drop("servers", old.name)
		time.Sleep(maintenance)
		p, err := c.w.addWorker(workerName(m.id, life), "a", m.rack)
		if err != nil {
			c.w.say("platform: the next worker of %s: %v", m.id, err)
			return
		}
		c.mu.Lock()
		m.worker, m.state = p, "up"
		c.mu.Unlock()
	}()
}
