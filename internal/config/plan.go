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

// ErrInvalid is wrapped by every error about the content of a file or of a change.
var ErrInvalid = errors.New("invalid configuration")

// Duration is a non-negative duration written as text, such as "90s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration and rejects negative durations.
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

// Policy is the part of the placement policy that operators may set. A nil field
// keeps the value of the preset.
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

// Partner is a party to the cost agreement. The shares of all partners add up to 1.
type Partner struct {
	Share float64 `toml:"share" json:"share"`
}

// Guarantee entitles a workspace to run Count gangs at a time in one cell, each of
// Tasks tasks with Each accelerators.
type Guarantee struct {
	Cell  string `toml:"cell" json:"cell"`
	Tasks int    `toml:"tasks" json:"tasks"`
	Each  int    `toml:"each" json:"each"`
	Count int    `toml:"count" json:"count"`
}

// Workspace is a tenant. Quota is in accelerators and 0 means no quota; Queue is its
// limit of queued jobs, where 0 means the limit of the policy.
type Workspace struct {
	Partner    string      `toml:"partner" json:"partner"`
	Quota      int         `toml:"quota" json:"quota"`
	Queue      int         `toml:"queue" json:"queue"`
	Guarantees []Guarantee `toml:"guarantees" json:"guarantees"`
}

// Cell is a group of availability zones whose targets are scheduled by one owner node.
// A zone belongs to at most one cell.
type Cell struct {
	Zones []string `toml:"zones" json:"zones"`
}

// File is the decoded content of one configuration file.
type File struct {
	Policy     Policy               `toml:"policy"`
	Partners   map[string]Partner   `toml:"partners"`
	Workspaces map[string]Workspace `toml:"workspaces"`
	Cells      map[string]Cell      `toml:"cells"`
}

// Plan is the merged and checked configuration of one generation. It is immutable and
// can be shared between goroutines. Hash is that of HashFiles.
type Plan struct {
	Generation uint64               `json:"generation"`
	Hash       string               `json:"hash"`
	Policy     place.Policy         `json:"policy"`
	Partners   map[string]Partner   `json:"partners"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Cells      map[string]Cell      `json:"cells"`
}

// WithGeneration returns a copy of the plan with the given generation.
func (p Plan) WithGeneration(n uint64) Plan {
	p.Generation = n
	return p
}

// Parse decodes one file and rejects unknown keys. Errors wrap ErrInvalid and give the
// file, and the line and key if they are known.
func Parse(name, text string) (File, error) {
	var f File
	dec := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(&f)
	if err == nil {
		return f, nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknownKey := strict.Errors[0]
		row, _ := unknownKey.Position()
		return f, fmt.Errorf("%s:%d: key %q is not known: %w", name, row, strings.Join(unknownKey.Key(), "."), ErrInvalid)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return f, fmt.Errorf("%s:%d: key %q: %w: %w", name, row, strings.Join(decodeErr.Key(), "."), ErrInvalid, err)
	}
	return f, fmt.Errorf("%s: %w: %w", name, ErrInvalid, err)
}

// Merge parses files, a map from file name to text, and merges them in the order of
// their names. A later file replaces whole partners, workspaces and cells of the same
// name, and single policy keys. Errors wrap ErrInvalid. The plan's generation is 0.
func Merge(files map[string]string) (Plan, error) {
	p := Plan{
		Policy: place.CompletionPolicy(), Partners: map[string]Partner{},
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

// HashFiles returns the SHA-256 of all file names and texts in hexadecimal.
func HashFiles(files map[string]string) string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		fmt.Fprintf(h, "%d %s %d %s\n", len(name), name, len(files[name]), files[name])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// mergePolicies applies the last preset first and then the single keys of all files, so
// that a preset in a later file does not reset keys of an earlier one.
func mergePolicies(all []Policy) (place.Policy, error) {
	out := place.CompletionPolicy()
	for _, p := range all {
		if p.Preset == nil {
			continue
		}
		switch *p.Preset {
		case "completion":
			out = place.CompletionPolicy()
		case "fragmentation":
			out = place.FragmentationPolicy()
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
	setMsIfPresent(&out.RackPatienceMs, p.RackPatience)
	setMsIfPresent(&out.HoldAfterMs, p.HoldAfter)
	setMsIfPresent(&out.HoldGraceMs, p.HoldGrace)
	setMsIfPresent(&out.MoveCostMs, p.MoveCost)
	setMsIfPresent(&out.HopelessMs, p.HopelessAfter)
	setMsIfPresent(&out.QuarantineMs, p.Quarantine)
	setIfPresent(&out.MaxHolds, p.MaxHolds)
	setIfPresent(&out.MigrateGain, p.MigrateGain)
	setIfPresent(&out.JobFailures, p.JobFailures)
	setIfPresent(&out.WorkerFailures, p.WorkerFailures)
	setIfPresent(&out.QuarantineShare, p.QuarantineShare)
	setIfPresent(&out.QueueLimit, p.QueueLimit)
	setIfPresent(&out.ShortFirst, p.ShortFirst)
}

func setIfPresent[T any](out, in *T) {
	if in != nil {
		*out = *in
	}
}

func setMsIfPresent(out *int64, in *Duration) {
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

// shareTolerance is how far the sum of the partners' shares may differ from 1.
const shareTolerance = 1e-6

// minWeight is the lowest weight of a workspace, used if its partner's share is 0.
const minWeight = 0.01

// check checks the merged plan. The keys of origin are "workspace NAME" and "cell NAME";
// the values are the files that declare them, for error messages.
func (p Plan) check(origin map[string]string) error {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.Partners)) {
		share := p.Partners[name].Share
		if share < 0 || share > 1 || math.IsNaN(share) {
			return fmt.Errorf("partners.%s.share is %g, want 0 to 1: %w", name, share, ErrInvalid)
		}
		sum += share
	}
	if len(p.Partners) > 0 && math.Abs(sum-1) > shareTolerance {
		return fmt.Errorf("the shares of all partners add up to %g, want 1: %w", sum, ErrInvalid)
	}
	zones := map[string]string{}
	for _, cell := range slices.Sorted(maps.Keys(p.Cells)) {
		if strings.ContainsAny(cell, "./ ") {
			return fmt.Errorf("%s: cells.%s: a cell's name has no '.', '/' or space: %w", origin["cell "+cell], cell, ErrInvalid)
		}
		for _, z := range p.Cells[cell].Zones {
			if otherCell, ok := zones[z]; ok {
				return fmt.Errorf("%s: zone %q is in the cells %q and %q: %w", origin["cell "+cell], z, otherCell, cell, ErrInvalid)
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

// checkWorkspace checks one workspace. The error text continues the path
// "workspaces.NAME", which the caller puts in front.
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

// CellOf returns the cell of a zone, or "" if no cell lists it. Targets in a zone
// without a cell get no work.
func (p Plan) CellOf(zone string) string {
	for name, c := range p.Cells {
		if slices.Contains(c.Zones, zone) {
			return name
		}
	}
	return ""
}

// CheckZoneMoves returns an error if a zone leaves the cell that it has in before while one of vms
// still serves there, because the jobs on that target would lose their owner. Targets
// that are leaving do not count.
func (p Plan) CheckZoneMoves(before Plan, vms []model.VM) error {
	for _, vm := range vms {
		oldCell := before.CellOf(vm.Zone)
		if oldCell != "" && oldCell != p.CellOf(vm.Zone) && !vm.Leaving {
			return fmt.Errorf("zone %q can't leave cell %q while target %q serves there: %w",
				vm.Zone, oldCell, vm.ID, ErrInvalid)
		}
	}
	return nil
}

// Snapshot returns the policy, workspaces and guarantees that placement needs for one
// cell. A partner's share is divided evenly between its workspaces.
func (p Plan) Snapshot(cell string) place.Snapshot {
	s := place.Snapshot{Generation: p.Generation, Policy: p.Policy}
	partnerWorkspaces := map[string]int{}
	for _, ws := range p.Workspaces {
		partnerWorkspaces[ws.Partner]++
	}
	for _, name := range slices.Sorted(maps.Keys(p.Workspaces)) {
		ws := p.Workspaces[name]
		workspace := place.Workspace{
			Name: name, Partner: ws.Partner, Quota: ws.Quota, Queue: ws.Queue,
			Weight: max(minWeight, p.Partners[ws.Partner].Share/float64(partnerWorkspaces[ws.Partner])*float64(len(p.Workspaces))),
		}
		for _, g := range ws.Guarantees {
			if g.Cell == cell {
				workspace.Guarantees = append(workspace.Guarantees, place.Guarantee{
					Shape: model.Shape{Tasks: g.Tasks, Each: g.Each}, Count: g.Count,
				})
			}
		}
		s.Workspaces = append(s.Workspaces, workspace)
	}
	return s
}

// CheckGuaranteesFit returns an error if the guarantees of a cell can't be placed together on its
// workers. Workers that are leaving do not count.
func (p Plan) CheckGuaranteesFit(vms []model.VM) error {
	byCell := map[string][]model.VM{}
	for _, vm := range vms {
		if !vm.Leaving {
			cell := p.CellOf(vm.Zone)
			byCell[cell] = append(byCell[cell], vm)
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(p.Cells)) {
		if err := place.CheckGuaranteesFit(byCell[cell], p.Snapshot(cell)); err != nil {
			return fmt.Errorf("cell %q: %w: %w", cell, ErrInvalid, err)
		}
	}
	return nil
}
