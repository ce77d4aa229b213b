package speed

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// learned returns a model in which the speeds of a third of the workers are known to differ.
func learned() *model {
	m := newModel(1, 100, twoClasses(0.33, 1.7, 0.7))
	for range 150 {
		m.step()
	}
	return m
}

// Guards against speeds that are lost or altered when another owner reads them, before or after it knows the workers.
func TestStoredSpeedsAreRestored(t *testing.T) {
	for name, first := range map[string]bool{"before the workers": true, "after the workers": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := learned()
			var other Table
			restore := func() {
				for shard, data := range m.t.TakeChanged() {
					is.NoErr(other.Restore(shard, data))
				}
			}
			if first {
				restore()
			}
			for i := range m.factors {
				other.SetWorker(m.worker(i))
			}
			if !first {
				restore()
			}
			is.Equal(other.Even("p"), false)
			m.t, other = other, Table{}
			part, _ := m.wrong()
			is.True(part <= 0.03)
		})
	}
}

// Guards against rows that are written again and again although nothing changes.
func TestUnchangedShardsAreNotTaken(t *testing.T) {
	is := is.New(t)
	m := learned()
	is.Equal(len(m.t.TakeChanged()), 1)
	is.Equal(len(m.t.TakeChanged()), 0)
}

// Guards against a row that exceeds the store's bound of 64 KiB in base64, and shards that exceed their size.
func TestShardsAreBounded(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 2500, twoClasses(0.33, 1.7, 0.7))
	for range 1000 {
		m.step()
	}
	shards := m.t.TakeChanged()
	is.Equal(len(shards), 3)
	for _, data := range shards {
		is.True(len(data) <= 20_000)
	}
}

// Guards against a restarted worker that is taken as unknown, or that keeps for long the speed of its earlier incarnation
// when it no longer has it, whether it was dropped in between or not.
func TestEarlierIncarnationIsWeakPrior(t *testing.T) {
	for name, dropped := range map[string]bool{"dropped": true, "under its id": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := learned()
			slow := 0
			for m.t.Factor(workerName(slow)).Factor < 1.8 {
				slow++
			}
			d := m.worker(slow)
			if dropped {
				m.t.DropWorker(d.ID)
				is.Equal(m.t.Factor(d.ID).Factor, 1.0)
			}
			d.StartedMs++
			m.t.SetWorker(d)
			is.True(m.t.Factor(d.ID).Factor > 1.2)
			is.Equal(m.t.workers[d.ID].evidence, float32(rebornWeight))
			m.factors[slow] = 0.7
			is.True(m.samplesUntil(slow, func(f float64) bool { return f < 1.2 }) <= 3)
		})
	}
}

// Guards against a prior by rack or kind where these do not matter, and against none where a rack is slow.
func TestGroupsCountWhereTheyMatter(t *testing.T) {
	is := is.New(t)
	m := learned()
	p := m.t.pools["p"]
	is.True(!p.racks.matters && !p.kinds.matters)

	m = newModel(1, 100, patterns["one rack"].factor)
	for range 150 {
		m.step()
	}
	p = m.t.pools["p"]
	is.True(p.racks.matters && !p.kinds.matters)
	d := m.worker(3 * rackSize)
	d.ID = "new"
	m.t.SetWorker(d)
	is.True(m.t.Factor("new").Factor > 1.3)
}

// Guards against changes of class that an operator is not told of, or told of again and again, and against counts that
// don't agree with them.
func TestChangesOfClassAreTold(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 100, twoClasses(0.33, 1.7, 0.7))
	slow, told := map[string]bool{}, 0
	for range 400 {
		m.step()
		for _, c := range m.t.TakeChanges() {
			is.True(c.From != c.To)
			slow[c.Worker] = c.To == Slow
			told++
		}
	}
	is.True(told < 100)
	counts, want := m.t.Classes().ByName(), 0
	for i := range m.factors {
		if m.factors[i] == 1.7 {
			want++
			is.True(slow[workerName(i)])
		}
	}
	is.Equal(counts["slow"], want)
	is.Equal(counts["slow"]+counts["typical"]+counts["fast"], len(m.factors))
}

// Guards against rows from another version or a damaged store that end the process or give factors out of range.
func FuzzRestore(f *testing.F) {
	for shard, data := range learned().t.TakeChanged() {
		f.Add(shard, data[:len(data)-sumSize], true)
		f.Add(shard, data, false)
	}
	f.Add(-1, []byte{}, false)
	f.Add(0, []byte{codecVersion, 1, 0}, true)
	f.Fuzz(func(t *testing.T, shard int, data []byte, sealed bool) {
		is := is.New(t)
		if sealed {
			data = seal(data[:len(data):len(data)])
		}
		m := newModel(1, 20, allAlike)
		if m.t.Restore(shard, data) != nil {
			is.True(m.t.Even("p") && len(m.t.kept) == 0)
		}
		for range 10 {
			m.step()
		}
		for i := range m.factors {
			e := m.t.Factor(workerName(i))
			is.True(e.Factor > 0.2 && e.Factor < 10 && e.Low <= e.Factor && e.High >= e.Factor && !math.IsNaN(e.Low+e.High))
		}
		for shard, again := range m.t.TakeChanged() {
			is.NoErr(new(Table).Restore(shard, again))
		}
	})
}
