package profiler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/profiler"
)

// The load: 56 engines of 16 slots with speeds of 0.55 to 1.3, 734 streams of six events a second that go where the speed
// lets them, seen by 63 entries that report ten times a second over five relays. A third of the prompts finds its beginning
// cached and 3 % of the pauses are ten times as long; a quarter of the engines get twice as many streams as their speed
// lets them.
const (
	engines       = 56
	slots         = 16
	entries       = 63
	relays        = 5
	streamsPerSec = 734.0
	eventsPerRun  = 6
	step          = 5 * time.Millisecond
	usualPause    = 60 * time.Millisecond
	usualFirst    = 90 * time.Millisecond
)

// stream is a running stream at an engine; the next event comes when its time left is over at the engine's speed.
type stream struct {
	entry  int
	events int
	left   float64
	// waited is set if the stream had no slot when it came.
	waited bool
	last   time.Time
}

type simulation struct {
	r        *rand.Rand
	now      time.Time
	speeds   [engines]float64
	shares   [engines]float64
	streams  [engines][]*stream
	entries  [entries]*profiler.Collector
	relays   [relays]*profiler.Collector
	profiler *profiler.Profiler
	sent     map[string]profiler.Speed
	messages int
}

func name(i int) string { return fmt.Sprint("e", i) }

func newSimulation(seed uint64) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), profiler: profiler.New(), sent: make(map[string]profiler.Speed)}
	for i := range engines {
		s.speeds[i] = 0.55 + 0.75*float64(i)/(engines-1)
		s.shares[i] = s.speeds[i] / medianSpeed / 1.25
		if i%4 == 0 {
			s.shares[i] *= 2
		}
		s.profiler.Set(name(i), 1, "s")
	}
	for i := range s.entries {
		s.entries[i] = profiler.NewCollector()
	}
	for i := range s.relays {
		s.relays[i] = profiler.NewCollector()
	}
	return s
}

// noise returns a factor around 1.
func (s *simulation) noise() float64 {
	f := math.Exp(0.3 * s.r.NormFloat64())
	if s.r.Float64() < 0.03 {
		f *= 10
	}
	return f
}

// draw returns the time, in seconds at the median speed and without load, of a stream's next event.
func (s *simulation) draw(first bool) float64 {
	d := usualPause.Seconds()
	if first {
		if d = usualFirst.Seconds(); s.r.Float64() < 0.33 {
			d /= 3
		}
	}
	return d * s.noise()
}

// advance plays one step of all engines.
func (s *simulation) advance() {
	s.now = s.now.Add(step)
	for i := range engines {
		if s.r.Float64() < streamsPerSec/engines*s.shares[i]*step.Seconds() {
			s.streams[i] = append(s.streams[i], &stream{entry: s.r.IntN(entries), left: s.draw(true), waited: len(s.streams[i]) >= slots, last: s.now})
		}
		load := min(float64(len(s.streams[i]))/slots, 1)
		for j, x := range s.streams[i] {
			// Streams beyond the slots wait.
			if j < slots {
				x.left -= step.Seconds() * s.speeds[i] / (0.6 + load)
			}
			if x.left > 0 {
				continue
			}
			switch {
			case x.events == 0 && x.waited:
			case x.events == 0:
				s.entries[x.entry].AddPrompt("s", name(i), load, 646, s.now.Sub(x.last))
			default:
				s.entries[x.entry].AddEvents(name(i), load, 1, s.now.Sub(x.last))
			}
			x.events, x.left, x.last = x.events+1, s.draw(false), s.now
		}
		s.streams[i] = slices.DeleteFunc(s.streams[i], func(x *stream) bool { return x.events == eventsPerRun })
	}
	if s.now.UnixMilli()%100 != 0 {
		return
	}
	for i := range s.relays {
		for _, v := range s.relays[i].Take() {
			s.profiler.Record(s.now, v)
		}
	}
	for i, e := range s.entries {
		for _, v := range e.Take() {
			s.relays[i%relays].Add(v)
		}
	}
	for _, v := range s.profiler.TakeChanged(s.now) {
		s.sent[v.Server] = v
		s.messages++
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance()
	}
}

// step returns the speed that was sent of a server.
func (s *simulation) speed(i int) float64 {
	if v, ok := s.sent[name(i)]; ok {
		return float64(v.Step) / profiler.Usual
	}
	return 1
}

func (s *simulation) prefill(i int) float64 {
	if v, ok := s.sent[name(i)]; ok {
		return float64(v.Prefill) / profiler.Usual
	}
	return 1
}

// medianSpeed is that of the simulated engines.
const medianSpeed = 0.925

func TestSpeedsAreLearntFromAllEntries(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		s := newSimulation(seed)
		s.run(5 * time.Second)
		sum := 0.0
		for i := range engines {
			want := s.speeds[i] / medianSpeed
			deviation := math.Abs(math.Log(s.speed(i) / want))
			sum += deviation
			c.Check(deviation < 0.35, qt.IsTrue, qt.Commentf("seed %d: engine %d: %.2f instead of %.2f", seed, i, s.speed(i), want))
			c.Check(math.Abs(math.Log(s.prefill(i)/want)) < 0.5, qt.IsTrue, qt.Commentf("seed %d: engine %d: prefill %.2f instead of %.2f", seed, i, s.prefill(i), want))
		}
		c.Check(sum/engines < 0.1, qt.IsTrue, qt.Commentf("seed %d: mean deviation %.3f", seed, sum/engines))
	}
}

// An engine becomes three times slower under streams that keep coming: balance and placement must know that it is slow within
// a second in nine of ten cases and always within one and a half, as some have only few events in flight; and within two that
// it is much slower. Two seconds after its recovery it is nearly a usual one again.
func TestSlowDownIsNoticedWithinASecond(t *testing.T) {
	c := qt.New(t)
	cases, noticed := 0, 0
	for seed := range uint64(10) {
		for _, slow := range []int{10, 28, 50} {
			s := newSimulation(seed)
			s.run(4 * time.Second)
			usual := s.speeds[slow] / medianSpeed
			s.speeds[slow] /= 3
			s.run(time.Second)
			if cases++; s.speed(slow) < 0.8*usual {
				noticed++
			}
			s.run(500 * time.Millisecond)
			c.Check(s.speed(slow) < 0.8*usual, qt.IsTrue, qt.Commentf("seed %d: engine %d: %.2f after %.2f and 1.5 s", seed, slow, s.speed(slow), usual))
			s.run(500 * time.Millisecond)
			c.Check(s.speed(slow) < 0.6*usual, qt.IsTrue, qt.Commentf("seed %d: engine %d: %.2f after %.2f and 2 s", seed, slow, s.speed(slow), usual))
			s.speeds[slow] *= 3
			s.run(2 * time.Second)
			c.Check(s.speed(slow) > 0.7*usual, qt.IsTrue, qt.Commentf("seed %d: engine %d stays at %.2f after %.2f", seed, slow, s.speed(slow), usual))
		}
	}
	c.Check(noticed*10 >= cases*9, qt.IsTrue, qt.Commentf("%d of %d cases noticed within a second", noticed, cases))
	t.Logf("%d of %d cases noticed within a second", noticed, cases)
}

// A message a second for each engine would cost more than it tells: speeds that don't change aren't sent again.
func TestSpeedsThatDoNotChangeAreSeldomSent(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1)
	s.run(5 * time.Second)
	s.messages = 0
	s.run(10 * time.Second)
	c.Check(s.messages < 10*engines, qt.IsTrue, qt.Commentf("%d speeds in 10 s", s.messages))
}

func TestFewSamplesCountLittle(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := profiler.New()
	col := profiler.NewCollector()
	for i := range 5 {
		p.Set(name(i), 1, "s")
		col.AddEvents(name(i), 0.5, 1, 50*time.Millisecond)
	}
	col.AddEvents("e0", 0.5, 1, time.Second)
	for _, v := range col.Take() {
		p.Record(now, v)
	}
	for _, v := range p.Speeds(now) {
		c.Check(v.Step >= 60, qt.IsTrue, qt.Commentf("%v", v))
	}
}

func TestRestartForgetsSpeed(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2)
	s.speeds[3] = 0.2
	s.run(3 * time.Second)
	c.Assert(s.speed(3) < 0.4, qt.IsTrue, qt.Commentf("%.2f", s.speed(3)))
	s.profiler.Set(name(3), 1, "s")
	c.Check(s.profiler.Sent(), qt.Any(qt.Equals), s.sent[name(3)], qt.Commentf("the same start is known"))
	s.profiler.Set(name(3), 2, "s")
	for _, v := range s.profiler.Sent() {
		c.Check(v.Server, qt.Not(qt.Equals), name(3))
	}
}

// A new leader knows no samples: what the last one sent holds until there are some, and then is sent as usual again.
func TestNewLeaderCorrectsSpeedsOfLastOne(t *testing.T) {
	c := qt.New(t)
	p := profiler.New()
	for i := range 4 {
		p.Set(name(i), 1, "s")
	}
	p.Adopt([]profiler.Speed{{Server: "e1", Step: 40, Prefill: 40}})
	c.Check(p.Sent(), qt.DeepEquals, []profiler.Speed{{Server: "e1", Step: 40, Prefill: 40}})
	c.Check(p.TakeChanged(time.Unix(1000, 0)), qt.DeepEquals, []profiler.Speed{{Server: "e1", Step: 100, Prefill: 100}})
}

func TestImpossibleSamplesAreIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := profiler.New()
	for i := range 4 {
		p.Set(name(i), 1, "s")
	}
	for _, v := range []profiler.Sample{
		{Server: "e0", Events: 1, Load: 500, Pause: 100},
		{Server: "e0", Events: 1, Pause: -5},
		{Server: "e0", Events: 1, Pause: 1 << 40},
		{Server: "e0", Events: -1, Pause: 5},
		{Server: "e0", Prompts: 1, First: 1 << 40},
		{Server: "unknown", Events: 5, Pause: 500},
	} {
		p.Record(now, v)
	}
	for _, v := range p.Speeds(now) {
		c.Check(v, qt.Equals, profiler.Speed{Server: v.Server, Step: 100, Prefill: 100})
	}
}
