package stand

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

// Fault says what is wrong with the platform; the zero value is healthy.
type Fault struct {
	// Down makes the table refuse everything.
	Down bool `json:"down"`
	// Silent makes the table hold every request without an answer.
	Silent bool `json:"silent"`
	// DelayMs is added before each table operation.
	DelayMs int64 `json:"delay_ms"`
	// LoseNext is how many of the next transactions take effect unanswered.
	LoseNext int `json:"lose_next"`
	// LoseEvery, if positive, loses the answer of each n-th transaction.
	LoseEvery int `json:"lose_every"`
	// ObjectsDown makes the object store refuse everything.
	ObjectsDown bool `json:"objects_down"`
	// LagMs is how old the VM list is that readers see.
	LagMs int64 `json:"lag_ms"`
}

// silence is how long a silent stand-in holds a request.
const silence = 30 * time.Second

type listed struct {
	at  time.Time
	vms map[string]model.VM
}

// Platform is the table, object store and VM list in one; the zero value is
// ready.
type Platform struct {
	Rows Rows
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// All below is guarded by mu. lists grows by one for each change.
	fault   Fault
	txns    int
	objects map[string][]byte
	lists   []listed
}

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// SetFault replaces what is wrong with the platform.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// CurrentFault returns what is wrong with the platform.
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
	if n := len(p.lists); n > 0 {
		for id, vm := range p.lists[n-1].vms {
			vms[id] = vm
		}
	}
	change(vms)
	p.lists = append(p.lists, listed{at: p.now(), vms: vms})
}

func (p *Platform) visibleVMs() []model.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := p.now().Add(-time.Duration(p.fault.LagMs) * time.Millisecond)
	vms := []model.VM{}
	for i := len(p.lists) - 1; i >= 0; i-- {
		if p.fault.LagMs > 0 && p.lists[i].at.After(cut) && i > 0 {
			continue
		}
		for _, vm := range p.lists[i].vms {
			vms = append(vms, vm)
		}
		break
	}
	return vms
}

// Handle answers one request; status 0 means that no answer is given.
func (p *Platform) Handle(method, uri string, body []byte) (status int, answer []byte) {
	u, err := url.Parse(uri)
	if err != nil {
		return failure(err)
	}
	switch {
	case strings.HasPrefix(u.Path, "/table/"):
		return p.handleTable(u, body)
	case strings.HasPrefix(u.Path, "/object/"):
		return p.handleObject(method, strings.TrimPrefix(u.Path, "/object/"), body)
	case u.Path == "/vms" && method == fiber.MethodGet:
		return success(map[string]any{"vms": p.visibleVMs()})
	case u.Path == "/vms":
		var vm model.VM
		if err := model.Decode(body, &vm); err != nil {
			return failure(err)
		}
		p.SetVM(vm)
		return success(struct{}{})
	case strings.HasPrefix(u.Path, "/vms/") && method == fiber.MethodDelete:
		p.RemoveVM(strings.TrimPrefix(u.Path, "/vms/"))
		return success(struct{}{})
	case u.Path == "/fault":
		return p.handleFault(method, body)
	case u.Path == "/counts":
		reads, writes := p.Rows.Counts()
		return success(map[string]int64{"reads": reads, "writes": writes})
	}
	return fiber.StatusNotFound, nil
}

func success(out any) (int, []byte) {
	data, err := json.Marshal(out)
	if err != nil {
		return failure(err)
	}
	return fiber.StatusOK, data
}

func failure(err error) (int, []byte) {
	return fiber.StatusBadRequest, []byte(err.Error())
}

// handleTable applies the table's faults, then the operation.
func (p *Platform) handleTable(u *url.URL, body []byte) (int, []byte) {
	f := p.CurrentFault()
	if f.Silent {
		time.Sleep(silence)
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
			return failure(err)
		}
		return success(map[string]any{"rows": p.Rows.get(in.Keys)})
	case "/table/range":
		limit, err := strconv.Atoi(u.Query().Get("limit"))
		if err != nil {
			return failure(err)
		}
		rows, more := p.Rows.scan(u.Query().Get("prefix"), u.Query().Get("after"), limit)
		return success(map[string]any{"rows": rows, "more": more})
	}
	return fiber.StatusNotFound, nil
}

func (p *Platform) handleTxn(body []byte) (int, []byte) {
	var t txn
	if err := json.Unmarshal(body, &t); err != nil {
		return failure(err)
	}
	version, conflict := p.Rows.commit(t)
	if p.loses() {
		return 0, nil
	}
	if conflict != "" {
		return fiber.StatusConflict, []byte(conflict)
	}
	return success(map[string]uint64{"version": version})
}

func (p *Platform) loses() bool {
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
		return success(p.CurrentFault())
	}
	var f Fault
	if err := model.Decode(body, &f); err != nil {
		return failure(err)
	}
	p.SetFault(f)
	return success(struct{}{})
}
