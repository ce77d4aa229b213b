package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"greengageline/internal/fakes"
	"greengageline/internal/table"
	"greengageline/internal/wire"
	"greengageline/pkg/model"
)

const baseConfig = `
[partners.a]
share = 0.5
[partners.b]
share = 0.5
[cells.viti]
zones = ["suva"]
[workspaces.proofs]
partner = "a"
[[workspaces.proofs.guarantees]]
cell = "viti"
tasks = 2
each = 8
count = 1
`

func TestMergeLaterFileReplacesEarlierOne(t *testing.T) {
	is := is.New(t)
	p, err := Merge(map[string]string{
		"10.toml": baseConfig,
		"50.toml": "[partners.a]\nshare = 0.7\n[partners.b]\nshare = 0.3\n",
	})
	is.NoErr(err)
	is.Equal(p.Partners["a"].Share, 0.7) // the later file replaced the share
	is.Equal(len(p.Workspaces), 1)
}

func TestMergeErrorsNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":            {baseConfig + "colour = 1\n", `x.toml:15: key "workspaces.proofs.guarantees.colour"`},
		"wrong type":             {strings.Replace(baseConfig, "share = 0.5", `share = "half"`, 1), "x.toml:3: key"},
		"sum of shares":          {strings.Replace(baseConfig, "0.5", "0.6", 1), "add up to 1.1"},
		"undeclared partner":     {strings.Replace(baseConfig, `partner = "a"`, `partner = "z"`, 1), `x.toml: workspaces.proofs.partner is "z"`},
		"undeclared cell":        {strings.Replace(baseConfig, `cell = "viti"`, `cell = "fiji"`, 1), `guarantees[0].cell is "fiji"`},
		"shape out of range":     {strings.Replace(baseConfig, "each = 8", "each = 80", 1), "guarantees[0]"},
		"zone in two cells":      {baseConfig + "[cells.more]\nzones = [\"suva\"]\n", `zone "suva" is in the cells`},
		"unknown preset":         {baseConfig + "[policy]\npreset = \"fast\"\n", `policy.preset is "fast"`},
		"bad duration":           {baseConfig + "[policy]\nhold_after = \"soon\"\n", "x.toml:16"},
		"guarantees above quota": {strings.Replace(baseConfig, `partner = "a"`, "partner = \"a\"\nquota = 8", 1), "above its quota"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Merge(map[string]string{"x.toml": c.text})
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), c.want)) // file, line and key, or the entry, of the fault
		})
	}
}

func workerVMs(n int) (vms []model.VM) {
	for i := range n {
		vms = append(vms, model.VM{ID: fmt.Sprint("w", i), Zone: "suva", Rack: "r", Addr: "x:1", Accelerators: 8})
	}
	return vms
}

func TestGuaranteesAboveCapacityAreRejected(t *testing.T) {
	is := is.New(t)
	p, err := Merge(map[string]string{"x.toml": baseConfig})
	is.NoErr(err)
	is.NoErr(p.CheckGuaranteesFit(workerVMs(2)))
	err = p.CheckGuaranteesFit(workerVMs(1))
	is.True(errors.Is(err, ErrInvalid))
	is.True(strings.Contains(err.Error(), `workspace "proofs"`)) // the error names the workspace
}

func TestMovesRejectsZonesWithServingTargets(t *testing.T) {
	is := is.New(t)
	before, err := Merge(map[string]string{"x.toml": baseConfig})
	is.NoErr(err)
	after, err := Merge(map[string]string{"x.toml": strings.Replace(baseConfig, `"suva"`, `"nausori"`, 1)})
	is.NoErr(err)
	is.True(errors.Is(after.CheckZoneMoves(before, workerVMs(1)), ErrInvalid))
	is.NoErr(after.CheckZoneMoves(before, nil))
}

func newStandInStore(p *fakes.Platform) *Store {
	send := func(_ context.Context, _, method, path string, body []byte) (int, []byte, error) {
		status, answer := p.Handle(method, path, body)
		if status == 0 {
			return 0, nil, wire.ErrNoAnswer
		}
		return status, answer, nil
	}
	return &Store{Table: &table.Table{Wire: &wire.Client{Send: send}}, NowMs: func() int64 { return 1 }}
}

func singleEditChange(name, text string, base uint64) Change {
	return Change{Author: "t", Edits: []Edit{{Name: name, Text: text, Base: base}}}
}

// Concurrent changes of different files must all succeed. Of concurrent changes of one file
// with the same base one must succeed and the others must get ErrConflict. The table loses
// replies meanwhile.
func TestConcurrentChangesOfOneFileConflict(t *testing.T) {
	is := is.New(t)
	p := &fakes.Platform{}
	p.SetFault(fakes.Fault{LoseEvery: 3})
	_, err := newStandInStore(p).Change(context.Background(), singleEditChange("10.toml", baseConfig, 0), nil)
	is.NoErr(err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted, conflicts int
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name, baseGeneration := fmt.Sprintf("20-%d.toml", i), uint64(0)
			if i%2 == 1 {
				name, baseGeneration = "10.toml", 1 // odd changes edit the same file with the same base
			}
			text := baseConfig
			if i%2 == 0 {
				text = fmt.Sprintf("# %d\n", i)
			}
			_, err := newStandInStore(p).Change(context.Background(), singleEditChange(name, text+"# x\n", baseGeneration), nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted++
				return
			}
			if errors.Is(err, ErrConflict) {
				conflicts++
			}
		}()
	}
	wg.Wait()
	is.Equal(accepted, 7)  // six changes of different files and one of the common file
	is.Equal(conflicts, 5) // the other changes of the common file
	f, err := newStandInStore(p).Refresh(context.Background(), Folder{})
	is.NoErr(err)
	is.Equal(f.Head.Generation, uint64(8)) // one for the first change and one for each accepted change
}

// Pattern: files are added without end. Guards against a configuration that no node can hold, and against one that can't be
// made smaller again.
func TestSizeOfTheFolderIsBounded(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newStandInStore(&fakes.Platform{})
	_, err := s.Change(ctx, singleEditChange("base.toml", baseConfig, 0), nil)
	is.NoErr(err)
	text := strings.Repeat("#", maxFileBytes)
	added := 0
	for ; err == nil; added++ {
		_, err = s.Change(ctx, singleEditChange(fmt.Sprintf("f%d.toml", added), text, 0), nil)
	}
	is.True(errors.Is(err, ErrInvalid))
	is.True(added >= maxFolderBytes/maxFileBytes-1)
	f, err := s.Refresh(ctx, Folder{})
	is.NoErr(err)
	is.True(f.Size() <= maxFolderBytes)
	first := f.Files["f0.toml"].Generation
	_, err = s.Change(ctx, singleEditChange("f0.toml", "# short", first), nil)
	is.NoErr(err)
	_, err = s.Change(ctx, singleEditChange("small.toml", "# small", 0), nil)
	is.NoErr(err)
}

// Guards against a log of changes that is read only in part by a node that has missed many of them.
func TestFollowReadsAllPagesOfTheLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newStandInStore(&fakes.Platform{})
	_, err := s.Change(ctx, singleEditChange("base.toml", baseConfig, 0), nil)
	is.NoErr(err)
	known, err := s.Refresh(ctx, Folder{})
	is.NoErr(err)
	s.Known = func() Folder { return known }
	for i := range 2*logPageSize + 1 {
		_, err := s.Change(ctx, singleEditChange(fmt.Sprintf("f%d.toml", i), "# x", 0), nil)
		is.NoErr(err)
	}
	log, more, err := s.Log(ctx, 0)
	is.NoErr(err)
	is.Equal(len(log), logPageSize)
	is.True(more)
	f, err := s.Refresh(ctx, known)
	is.NoErr(err)
	is.Equal(len(f.Files), 2*logPageSize+2)
}

func TestFollowReadsOnlyChangedFiles(t *testing.T) {
	is := is.New(t)
	p := &fakes.Platform{}
	s := newStandInStore(p)
	ctx := context.Background()
	for i := range 40 {
		_, err := s.Change(ctx, singleEditChange(fmt.Sprintf("%02d.toml", i), "# x\n", 0), nil)
		is.NoErr(err)
	}
	earlier, err := s.Refresh(ctx, Folder{})
	is.NoErr(err)
	_, err = s.Change(ctx, singleEditChange("07.toml", "# y\n", 8), nil)
	is.NoErr(err)
	readsBefore, _ := p.Rows.Counts()
	latest, err := s.Refresh(ctx, earlier)
	is.NoErr(err)
	readsAfter, _ := p.Rows.Counts()
	is.Equal(latest.Files["07.toml"].Text, "# y\n")
	is.Equal(earlier.Files["07.toml"].Text, "# x\n") // the earlier folder is not modified
	is.True(readsAfter-readsBefore <= 3)             // rows read: head, log and one file
}

func FuzzParse(f *testing.F) {
	f.Add(baseConfig)
	f.Add("[policy]\nhold_after = \"1s\"\n")
	f.Add("[workspaces.a]\nguarantees = [{tasks=1}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Parse("x.toml", text); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("error of another kind: %v", err)
		}
		_, _ = Merge(map[string]string{"x.toml": text})
	})
}
