package fakes

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"greengageline/pkg/model"
)

// Fault is the set of faults injected into the fake platform; the zero value injects none.
type Fault struct {
	// Down makes the table reject every operation.
	Down bool `json:"down"`
	// Silent makes the table hold every request for silentHoldTime and then send no answer.
	Silent bool `json:"silent"`
	// DelayMs is the delay before each table operation, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// LoseNext is the number of next transactions that are processed but get no answer.
	LoseNext int `json:"lose_next"`
	// LoseEvery, if positive, is n such that every n-th transaction gets no answer.
	LoseEvery int `json:"lose_every"`
	// ObjectsDown makes the object store reject every operation.
	ObjectsDown bool `json:"objects_down"`
	// LagMs is the lag of the VM list that readers see, in milliseconds.
	LagMs int64 `json:"lag_ms"`
}

// silentHoldTime is how long a silent table holds a request before the connection is closed.
const silentHoldTime = 30 * time.Second

type vmSnapshot struct {
	at  time.Time
	vms map[string]model.VM
}

// Platform is a fake platform: the table, the object store and the VM list. The zero value is
// ready for use. It is safe for concurrent use.
type Platform struct {
	Rows Rows
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// mu guards the fields below. Each change of the VM list appends to snapshots.
	fault     Fault
	txns      int
	objects   map[string][]byte
	snapshots []vmSnapshot
}

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// SetFault replaces the injected faults.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// CurrentFault returns the injected faults.
func (p *Platform) CurrentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// SetVM adds or replaces an entry of the VM list.
func (p *Platform) SetVM(vm model.VM) {
	p.changeVMs(func(vms map[string]model.VM) { vms[vm.ID] = vm })
}

// RemoveVM deletes an entry of the VM list.
func (p *Platform) RemoveVM(id string) {
	p.changeVMs(func(vms map[string]model.VM) { delete(vms, id) })
}

func (p *Platform) changeVMs(change func(map[string]model.VM)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := map[string]model.VM{}
	if n := len(p.snapshots); n > 0 {
		for id, vm := range p.snapshots[n-1].vms {
			vms[id] = vm
		}
	}
	change(vms)
	p.snapshots = append(p.snapshots, vmSnapshot{at: p.now(), vms: vms})
}

// visibleVMs returns the newest snapshot of the VM list that is at least LagMs old, or the oldest
// snapshot if none is.
func (p *Platform) visibleVMs() []model.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := p.now().Add(-time.Duration(p.fault.LagMs) * time.Millisecond)
	vms := []model.VM{}
	for i := len(p.snapshots) - 1; i >= 0; i-- {
		if p.fault.LagMs > 0 && p.snapshots[i].at.After(cutoff) && i > 0 {
			continue
		}
		for _, vm := range p.snapshots[i].vms {
			vms = append(vms, vm)
		}
		break
	}
	return vms
}

// Handle handles one HTTP request. Status 0 means that no answer is sent.
func (p *Platform) Handle(method, uri string, body []byte) (status int, answer []byte) {
	u, err := url.Parse(uri)
	if err != nil {
		return badRequest(err)
	}
	switch {
	case strings.HasPrefix(u.Path, "/table/"):
		return p.handleTable(u, body)
	case strings.HasPrefix(u.Path, "/object/"):
		return p.handleObject(method, strings.TrimPrefix(u.Path, "/object/"), body)
	case u.Path == "/vms" && method == fiber.MethodGet:
		return okResponse(map[string]any{"vms": p.visibleVMs()})
	case u.Path == "/vms":
		var vm model.VM
		if err := model.Decode(body, &vm); err != nil {
			return badRequest(err)
		}
		p.SetVM(vm)
		return okResponse(struct{}{})
	case strings.HasPrefix(u.Path, "/vms/") && method == fiber.MethodDelete:
		p.RemoveVM(strings.TrimPrefix(u.Path, "/vms/"))
		return okResponse(struct{}{})
	case u.Path == "/fault":
		return p.handleFault(method, body)
	case u.Path == "/counts":
		reads, writes := p.Rows.Counts()
		return okResponse(map[string]int64{"reads": reads, "writes": writes})
	}
	return fiber.StatusNotFound, nil
}

func okResponse(out any) (int, []byte) {
	data, err := json.Marshal(out)
	if err != nil {
		return badRequest(err)
	}
	return fiber.StatusOK, data
}

func badRequest(err error) (int, []byte) {
	return fiber.StatusBadRequest, []byte(err.Error())
}

// handleTable applies the injected table faults and then executes the operation.
func (p *Platform) handleTable(u *url.URL, body []byte) (int, []byte) {
	f := p.CurrentFault()
	if f.Silent {
		time.Sleep(silentHoldTime)
		return 0, nil
	}
	if f.DelayMs > 0 {
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	}
	if f.Down {
		return fiber.StatusServiceUnavailable, []byte("table is down")
	}
	switch u.Path {
	case "/table/txn":
		return p.handleTxn(body)
	case "/table/get":
		var in struct {
			Keys []string `json:"keys"`
		}
		if err := json.Unmarshal(body, &in); err != nil {
			return badRequest(err)
		}
		return okResponse(map[string]any{"rows": p.Rows.get(in.Keys)})
	case "/table/range":
		limit, err := strconv.Atoi(u.Query().Get("limit"))
		if err != nil {
			return badRequest(err)
		}
		rows, more := p.Rows.scan(u.Query().Get("prefix"), u.Query().Get("after"), limit)
		return okResponse(map[string]any{"rows": rows, "more": more})
	}
	return fiber.StatusNotFound, nil
}

func (p *Platform) handleTxn(body []byte) (int, []byte) {
	var t txn
	if err := json.Unmarshal(body, &t); err != nil {
		return badRequest(err)
	}
	version, conflict := p.Rows.commit(t)
	if p.loseAnswer() {
		return 0, nil
	}
	if conflict != "" {
		return fiber.StatusConflict, []byte(conflict)
	}
	return okResponse(map[string]uint64{"version": version})
}

// loseAnswer counts a transaction and reports whether its answer must be dropped.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.txns++
	if p.fault.LoseNext > 0 {
		p.fault.LoseNext--
		return true
	}
	return p.fault.LoseEvery > 0 && p.txns%p.fault.LoseEvery == 0
}

func (p *Platform) handleObject(method, name string, body []byte) (int, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.ObjectsDown {
		return fiber.StatusServiceUnavailable, nil
	}
	if method == fiber.MethodPut {
		if p.objects == nil {
			p.objects = map[string][]byte{}
		}
		p.objects[name] = append([]byte(nil), body...)
		return fiber.StatusOK, nil
	}
	data, ok := p.objects[name]
	if !ok {
		return fiber.StatusNotFound, nil
	}
	return fiber.StatusOK, data
}

func (p *Platform) handleFault(method string, body []byte) (int, []byte) {
	if method == fiber.MethodGet {
		return okResponse(p.CurrentFault())
	}
	var f Fault
	if err := model.Decode(body, &f); err != nil {
		return badRequest(err)
	}
	p.SetFault(f)
	return okResponse(struct{}{})
}
