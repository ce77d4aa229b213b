package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// ErrInvalid is wrapped by every error about a file's content.
var ErrInvalid = errors.New("invalid configuration")

// Duration is a time span written as text, such as "90s".
type Duration time.Duration

// UnmarshalText reads a span in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as \"90s\": %w", err)
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// Policy is the part of the placement policy that operators may set; absent
// keys keep the preset's value.
type Policy struct {
	Preset          *string   `toml:"preset"`
	RackPatience    *Duration `toml:"rack_patience"`
	HoldAfter       *Duration `toml:"hold_after"`
	HoldGrace       *Duration `toml:"hold_grace"`
	MaxHolds        *int      `toml:"max_holds"`
	MigrateGain     *float64  `toml:"migrate_gain"`
	MoveCost        *Duration `toml:"move_cost"`
	JobFailures     *int      `toml:"job_failures"`
	WorkerFailures  *int      `toml:"worker_failures"`
	Quarantine      *Duration `toml:"quarantine"`
	QuarantineShare *float64  `toml:"quarantine_share"`
	QueueLimit      *int      `toml:"queue_limit"`
	HopelessAfter   *Duration `toml:"hopeless_after"`
	ShortFirst      *bool     `toml:"short_first"`
}

// Partner is a party to the cost agreement; all shares add up to 1.
type Partner struct {
	Share float64 `toml:"share" json:"share"`
}

// Guarantee is a shape that a workspace can claim Count times in one cell.
type Guarantee struct {
	Cell  string `toml:"cell" json:"cell"`
	Tasks int    `toml:"tasks" json:"tasks"`
	Each  int    `toml:"each" json:"each"`
	Count int    `toml:"count" json:"count"`
}

// Workspace is a tenant.
type Workspace struct {
	Partner    string      `toml:"partner" json:"partner"`
	Quota      int         `toml:"quota" json:"quota"`
	Queue      int         `toml:"queue" json:"queue"`
	Guarantees []Guarantee `toml:"guarantees" json:"guarantees"`
}

// Cell groups availability zones of targets under one owner.
type Cell struct {
	Zones []string `toml:"zones" json:"zones"`
}

// File is the content of one file of the folder.
type File struct {
	Policy     Policy               `toml:"policy"`
	Partners   map[string]Partner   `toml:"partners"`
	Workspaces map[string]Workspace `toml:"workspaces"`
	Cells      map[string]Cell      `toml:"cells"`
}

// Plan is one merged and checked generation; it is immutable.
type Plan struct {
	Generation uint64               `json:"generation"`
	Hash       string               `json:"hash"`
	Policy     place.Policy         `json:"policy"`
	Partners   map[string]Partner   `json:"partners"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Cells      map[string]Cell      `json:"cells"`
}

// WithGeneration returns the plan under the given number.
func (p Plan) WithGeneration(n uint64) Plan {
	p.Generation = n
	return p
}

// Parse decodes one file strictly; an error names file, line and key.
func Parse(name, text string) (File, error) {
	var f File
	dec := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(&f)
	if err == nil {
		return f, nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return f, fmt.Errorf("%s:%d: key %q is not known: %w", name, row, strings.Join(first.Key(), "."), ErrInvalid)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return f, fmt.Errorf("%s:%d: key %q: %w: %w", name, row, strings.Join(decodeErr.Key(), "."), ErrInvalid, err)
	}
	return f, fmt.Errorf("%s: %w: %w", name, ErrInvalid, err)
}

// Merge parses all files and joins them in the order of their names: a later
// file replaces partners, workspaces, cells and single policy keys.
func Merge(files map[string]string) (Plan, error) {
	p := Plan{
		Policy: place.Completion(), Partners: map[string]Partner{},
		Workspaces: map[string]Workspace{}, Cells: map[string]Cell{},
		Hash: HashFiles(files),
	}
	origin := map[string]string{}
	var policies []Policy
	for _, name := range slices.Sorted(maps.Keys(files)) {
		f, err := Parse(name, files[name])
		if err != nil {
			return Plan{}, err
		}
		policies = append(policies, f.Policy)
		maps.Copy(p.Partners, f.Partners)
		maps.Copy(p.Workspaces, f.Workspaces)
		maps.Copy(p.Cells, f.Cells)
		for ws := range f.Workspaces {
			origin["workspace "+ws] = name
		}
		for cell := range f.Cells {
			origin["cell "+cell] = name
		}
	}
	policy, err := mergePolicies(policies)
	if err != nil {
		return Plan{}, err
	}
	p.Policy = policy
	return p, p.check(origin)
}

// HashFiles returns the SHA-256 of all names and texts in hexadecimal.
func HashFiles(files map[string]string) string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		fmt.Fprintf(h, "%d %s %d %s\n", len(name), name, len(files[name]), files[name])
	}
	return hex.EncodeToString(h.Sum(nil))
}

func mergePolicies(all []Policy) (place.Policy, error) {
	out := place.Completion()
	for _, p := range all {
		if p.Preset == nil {
			continue
		}
		switch *p.Preset {
		case "completion":
			out = place.Completion()
		case "fragmentation":
			out = place.Fragmentation()
		default:
			return out, fmt.Errorf("policy.preset is %q, want \"completion\" or \"fragmentation\": %w", *p.Preset, ErrInvalid)
		}
	}
	for _, p := range all {
		p.apply(&out)
	}
	return out, checkPolicy(out)
}

func (p Policy) apply(out *place.Policy) {
	setSpan(&out.RackPatienceMs, p.RackPatience)
	setSpan(&out.HoldAfterMs, p.HoldAfter)
	setSpan(&out.HoldGraceMs, p.HoldGrace)
	setSpan(&out.MoveCostMs, p.MoveCost)
	setSpan(&out.HopelessMs, p.HopelessAfter)
	setSpan(&out.QuarantineMs, p.Quarantine)
	set(&out.MaxHolds, p.MaxHolds)
	set(&out.MigrateGain, p.MigrateGain)
	set(&out.JobFailures, p.JobFailures)
	set(&out.WorkerFailures, p.WorkerFailures)
	set(&out.QuarantineShare, p.QuarantineShare)
	set(&out.QueueLimit, p.QueueLimit)
	set(&out.ShortFirst, p.ShortFirst)
}

func set[T any](out, in *T) {
	if in != nil {
		*out = *in
	}
}

func setSpan(out *int64, in *Duration) {
	if in != nil {
		*out = time.Duration(*in).Milliseconds()
	}
}

func checkPolicy(p place.Policy) error {
	switch {
	case p.MaxHolds < 0 || p.MaxHolds > 64:
		return fmt.Errorf("policy.max_holds is %d, want 0 to 64: %w", p.MaxHolds, ErrInvalid)
	case p.MigrateGain < 0:
		return fmt.Errorf("policy.migrate_gain is %g, want 0 or more: %w", p.MigrateGain, ErrInvalid)
	case p.JobFailures < 1 || p.WorkerFailures < 1:
		return fmt.Errorf("policy.job_failures and policy.worker_failures must be at least 1: %w", ErrInvalid)
	case p.QuarantineShare < 0 || p.QuarantineShare > 0.5:
		return fmt.Errorf("policy.quarantine_share is %g, want 0 to 0.5: %w", p.QuarantineShare, ErrInvalid)
	case p.QuarantineMs < 1:
		return fmt.Errorf("policy.quarantine must be at least 1ms: %w", ErrInvalid)
	case p.QueueLimit < 1:
		return fmt.Errorf("policy.queue_limit is %d, want at least 1: %w", p.QueueLimit, ErrInvalid)
	}
	return nil
}

// shareSlack is how far the sum of the partners' shares may be from 1.
const shareSlack = 1e-6

// minWeight is the weight of a workspace whose partner has no share.
const minWeight = 0.01

func (p Plan) check(origin map[string]string) error {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.Partners)) {
		share := p.Partners[name].Share
		if share < 0 || share > 1 || math.IsNaN(share) {
			return fmt.Errorf("partners.%s.share is %g, want 0 to 1: %w", name, share, ErrInvalid)
		}
		sum += share
	}
	if len(p.Partners) > 0 && math.Abs(sum-1) > shareSlack {
		return fmt.Errorf("the shares of all partners add up to %g, want 1: %w", sum, ErrInvalid)
	}
	zones := map[string]string{}
	for _, cell := range slices.Sorted(maps.Keys(p.Cells)) {
		if strings.ContainsAny(cell, "./ ") {
			return fmt.Errorf("%s: cells.%s: a cell's name has no '.', '/' or space: %w", origin["cell "+cell], cell, ErrInvalid)
		}
		for _, z := range p.Cells[cell].Zones {
			if other, ok := zones[z]; ok {
				return fmt.Errorf("%s: zone %q is in the cells %q and %q: %w", origin["cell "+cell], z, other, cell, ErrInvalid)
			}
			zones[z] = cell
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Workspaces)) {
		if err := p.checkWorkspace(name); err != nil {
			return fmt.Errorf("%s: workspaces.%s%w", origin["workspace "+name], name, err)
		}
	}
	return nil
}

func (p Plan) checkWorkspace(name string) error {
	ws := p.Workspaces[name]
	if _, ok := p.Partners[ws.Partner]; !ok {
		return fmt.Errorf(".partner is %q, which no file declares: %w", ws.Partner, ErrInvalid)
	}
	if ws.Quota < 0 || ws.Queue < 0 {
		return fmt.Errorf(": quota and queue must not be negative: %w", ErrInvalid)
	}
	total := 0
	for i, g := range ws.Guarantees {
		shape := model.Shape{Tasks: g.Tasks, Each: g.Each}
		if err := shape.Check(); err != nil {
			return fmt.Errorf(".guarantees[%d]: %w: %w", i, ErrInvalid, err)
		}
		if g.Count < 1 {
			return fmt.Errorf(".guarantees[%d].count is %d, want at least 1: %w", i, g.Count, ErrInvalid)
		}
		if _, ok := p.Cells[g.Cell]; !ok {
			return fmt.Errorf(".guarantees[%d].cell is %q, which no file declares: %w", i, g.Cell, ErrInvalid)
		}
		total += g.Count * shape.Accelerators()
	}
	if ws.Quota > 0 && total > ws.Quota {
		return fmt.Errorf(" guarantees %d accelerators, above its quota of %d: %w", total, ws.Quota, ErrInvalid)
	}
	return nil
}

// CellOf returns the cell of a zone, or "" if no cell lists it; targets there
// get no work.
func (p Plan) CellOf(zone string) string {
	for name, c := range p.Cells {
		if slices.Contains(c.Zones, zone) {
			return name
		}
	}
	return ""
}

// Moves checks that no zone in which targets still serve leaves its cell: jobs
// that run there would lose their owner.
func (p Plan) Moves(before Plan, vms []model.VM) error {
	for _, vm := range vms {
		was := before.CellOf(vm.Zone)
		if was != "" && was != p.CellOf(vm.Zone) && !vm.Leaving {
			return fmt.Errorf("zone %q can't leave cell %q while target %q serves there: %w",
				vm.Zone, was, vm.ID, ErrInvalid)
		}
	}
	return nil
}

// Snapshot returns what placement in one cell needs of the plan.
func (p Plan) Snapshot(cell string) place.Snapshot {
	s := place.Snapshot{Generation: p.Generation, Policy: p.Policy}
	members := map[string]int{}
	for _, ws := range p.Workspaces {
		members[ws.Partner]++
	}
	for _, name := range slices.Sorted(maps.Keys(p.Workspaces)) {
		ws := p.Workspaces[name]
		one := place.Workspace{
			Name: name, Partner: ws.Partner, Quota: ws.Quota, Queue: ws.Queue,
			Weight: max(minWeight, p.Partners[ws.Partner].Share/float64(members[ws.Partner])*float64(len(p.Workspaces))),
		}
		for _, g := range ws.Guarantees {
			if g.Cell == cell {
				one.Guarantees = append(one.Guarantees, place.Guarantee{
					Shape: model.Shape{Tasks: g.Tasks, Each: g.Each}, Count: g.Count,
				})
			}
		}
		s.Workspaces = append(s.Workspaces, one)
	}
	return s
}

// Packable checks that the guarantees of every cell fit its workers.
func (p Plan) Packable(vms []model.VM) error {
	byCell := map[string][]model.VM{}
	for _, vm := range vms {
		if !vm.Leaving {
			cell := p.CellOf(vm.Zone)
			byCell[cell] = append(byCell[cell], vm)
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(p.Cells)) {
		if err := place.Packable(byCell[cell], p.Snapshot(cell)); err != nil {
			return fmt.Errorf("cell %q: %w: %w", cell, ErrInvalid, err)
		}
	}
	return nil
}
