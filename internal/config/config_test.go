package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"greengageline/internal/stand"
	"greengageline/internal/table"
	"greengageline/internal/wire"
	"greengageline/pkg/model"
)

const base = `
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

func TestLaterNamesReplaceEarlierOnes(t *testing.T) {
	is := is.New(t)
	p, err := Merge(map[string]string{
		"10.toml": base,
		"50.toml": "[partners.a]\nshare = 0.7\n[partners.b]\nshare = 0.3\n",
	})
	is.NoErr(err)
	is.Equal(p.Partners["a"].Share, 0.7) // a renegotiated split is one new file
	is.Equal(len(p.Workspaces), 1)
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":    {base + "colour = 1\n", `x.toml:15: key "workspaces.proofs.guarantees.colour"`},
		"wrong type":     {strings.Replace(base, "share = 0.5", `share = "half"`, 1), "x.toml:3: key"},
		"shares":         {strings.Replace(base, "0.5", "0.6", 1), "add up to 1.1"},
		"no partner":     {strings.Replace(base, `partner = "a"`, `partner = "z"`, 1), `x.toml: workspaces.proofs.partner is "z"`},
		"no cell":        {strings.Replace(base, `cell = "viti"`, `cell = "fiji"`, 1), `guarantees[0].cell is "fiji"`},
		"shape":          {strings.Replace(base, "each = 8", "each = 80", 1), "guarantees[0]"},
		"zone twice":     {base + "[cells.more]\nzones = [\"suva\"]\n", `zone "suva" is in the cells`},
		"preset":         {base + "[policy]\npreset = \"fast\"\n", `policy.preset is "fast"`},
		"bad duration":   {base + "[policy]\nhold_after = \"soon\"\n", "x.toml:16"},
		"over the quota": {strings.Replace(base, `partner = "a"`, "partner = \"a\"\nquota = 8", 1), "above its quota"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Merge(map[string]string{"x.toml": c.text})
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), c.want)) // the error names the place
		})
	}
}

func workers(n int) (vms []model.VM) {
	for i := range n {
		vms = append(vms, model.VM{ID: fmt.Sprint("w", i), Zone: "suva", Rack: "r", Addr: "x:1", Accelerators: 8})
	}
	return vms
}

func TestGuaranteesMustFitThePool(t *testing.T) {
	is := is.New(t)
	p, err := Merge(map[string]string{"x.toml": base})
	is.NoErr(err)
	is.NoErr(p.Packable(workers(2)))
	err = p.Packable(workers(1))
	is.True(errors.Is(err, ErrInvalid))
	is.True(strings.Contains(err.Error(), `workspace "proofs"`)) // it says whose
}

func TestZonesWithTargetsKeepTheirCell(t *testing.T) {
	is := is.New(t)
	before, err := Merge(map[string]string{"x.toml": base})
	is.NoErr(err)
	after, err := Merge(map[string]string{"x.toml": strings.Replace(base, `"suva"`, `"nausori"`, 1)})
	is.NoErr(err)
	is.True(errors.Is(after.Moves(before, workers(1)), ErrInvalid))
	is.NoErr(after.Moves(before, nil))
}

func newStore(p *stand.Platform) *Store {
	send := func(_ context.Context, _, method, path string, body []byte) (int, []byte, error) {
		status, answer := p.Handle(method, path, body)
		if status == 0 {
			return 0, nil, wire.ErrNoAnswer
		}
		return status, answer, nil
	}
	return &Store{Table: &table.Table{Wire: &wire.Client{Send: send}}, NowMs: func() int64 { return 1 }}
}

func change(name, text string, base uint64) Change {
	return Change{Author: "t", Edits: []Edit{{Name: name, Text: text, Base: base}}}
}

func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	p := &stand.Platform{}
	p.SetFault(stand.Fault{LoseEvery: 3})
	_, err := newStore(p).Change(context.Background(), change("10.toml", base, 0), nil)
	is.NoErr(err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var won, lost int
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name, from := fmt.Sprintf("20-%d.toml", i), uint64(0)
			if i%2 == 1 {
				name, from = "10.toml", 1 // the same file from the same base
			}
			text := base
			if i%2 == 0 {
				text = fmt.Sprintf("# %d\n", i)
			}
			_, err := newStore(p).Change(context.Background(), change(name, text+"# x\n", from), nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
				return
			}
			if errors.Is(err, ErrConflict) {
				lost++
			}
		}()
	}
	wg.Wait()
	is.Equal(won, 7)  // six different files, and one of those that wanted the same
	is.Equal(lost, 5) // the others hear so
	f, err := newStore(p).Follow(context.Background(), Folder{})
	is.NoErr(err)
	is.Equal(f.Head.Generation, uint64(8)) // one generation for each accepted change
}

func TestFollowReadsOnlyWhatChanged(t *testing.T) {
	is := is.New(t)
	p := &stand.Platform{}
	s := newStore(p)
	ctx := context.Background()
	for i := range 40 {
		_, err := s.Change(ctx, change(fmt.Sprintf("%02d.toml", i), "# x\n", 0), nil)
		is.NoErr(err)
	}
	have, err := s.Follow(ctx, Folder{})
	is.NoErr(err)
	_, err = s.Change(ctx, change("07.toml", "# y\n", 8), nil)
	is.NoErr(err)
	before, _ := p.Rows.Counts()
	now, err := s.Follow(ctx, have)
	is.NoErr(err)
	after, _ := p.Rows.Counts()
	is.Equal(now.Files["07.toml"].Text, "# y\n")
	is.Equal(have.Files["07.toml"].Text, "# x\n") // the old snapshot stays readable
	is.True(after-before <= 3)                    // head, log and one file
}

func FuzzParse(f *testing.F) {
	f.Add(base)
	f.Add("[policy]\nhold_after = \"1s\"\n")
	f.Add("[workspaces.a]\nguarantees = [{tasks=1}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Parse("x.toml", text); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("error of another kind: %v", err)
		}
		_, _ = Merge(map[string]string{"x.toml": text})
	})
}
