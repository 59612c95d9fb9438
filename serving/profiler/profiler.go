package profiler

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meanTime is the time constant of a server's mean times, recentTime that of the recent means that show a change.
	meanTime   = 3 * time.Second
	recentTime = 250 * time.Millisecond
	// changeRatio is the logarithm of the ratio between recent and mean times from which the recent ones take the place of
	// the mean, and minRecent the number of recent events that shows a change.
	changeRatio = 0.4
	minRecent   = 4
	// slopeTime is the time constant of the sums that show how a service's times depend on load. slopePrior is the number of
	// events that is assumed to show no dependence, maxSlope the largest logarithm of the ratio between the times at full
	// and at no load, maxResidual what a report may differ from its server's mean to count.
	slopeTime   = 30 * time.Second
	slopePrior  = 5.0
	maxSlope    = 1.2
	maxResidual = 0.5
	// eventPrior and promptPrior are the numbers of events and of prompts that count for the assumed speed: the usual one for
	// events, that of events for prompts.
	eventPrior  = 6.0
	promptPrior = 20.0
	// minServers is the number of a service's servers with samples from which they are compared.
	minServers = 3
	// minSpeed and maxSpeed bound a speed.
	minSpeed = 0.1
	maxSpeed = 3.0
	// sendEvery is the shortest time between two lists of changed speeds, minChange the smallest change that is listed.
	sendEvery = 100 * time.Millisecond
	minChange = 0.08
	// maxMean bounds a report's mean logarithm of microseconds, whatever the reporter sent.
	maxMean = 20.0
)

// Speed is how fast a server is in relation to the median of its service; 100 is as fast as the median.
type Speed struct {
	Server string
	// Step is its speed between events, Prefill before the first event, both in hundredths.
	Step    int
	Prefill int
}

// Usual is the speed that is assumed until a server's is known.
const Usual = unit

// mean is a decayed mean of a load and of a logarithm.
type mean struct {
	n, load, sum float64
	at           time.Time
}

func (m *mean) decay(now time.Time, over time.Duration) {
	if !m.at.IsZero() && now.After(m.at) {
		f := math.Exp(-float64(now.Sub(m.at)) / float64(over))
		m.n, m.load, m.sum = m.n*f, m.load*f, m.sum*f
	}
	if m.at.IsZero() || now.After(m.at) {
		m.at = now
	}
}

func (m *mean) add(n, load, sum float64) { m.n, m.load, m.sum = m.n+n, m.load+load, m.sum+sum }

// value returns the mean logarithm at no load; slope is how it grows with load.
func (m *mean) value(slope float64) float64 { return (m.sum - slope*m.load) / m.n }

// times are the mean and the recent times of one server.
type times struct{ mean, recent mean }

func (t *times) decay(now time.Time) {
	t.mean.decay(now, meanTime)
	t.recent.decay(now, recentTime)
}

// add adds a report; a change that is larger than the noise of a few events drops the times before it.
func (t *times) add(now time.Time, n, load, sum, slope float64) {
	t.decay(now)
	t.mean.add(n, load, sum)
	t.recent.add(n, load, sum)
	if t.recent.n >= minRecent && math.Abs(t.recent.value(slope)-t.mean.value(slope)) > changeRatio {
		t.mean = t.recent
	}
}

type server struct {
	startedMS int64
	service   string
	events    times
	prompts   times
	sent      Speed
}

// service holds the decayed sums of squares of loads and of products of loads and logarithms, each as differences from the
// server's mean: servers of different speeds have different loads, so that only differences at one server count.
type service struct {
	squares, products float64
	at                time.Time
}

func (s *service) slope() float64 {
	return min(max(s.products/(s.squares+slopePrior*0.1), 0), maxSlope)
}

func (s *service) add(now time.Time, n, load, deviation float64) {
	if !s.at.IsZero() && now.After(s.at) {
		f := math.Exp(-float64(now.Sub(s.at)) / float64(slopeTime))
		s.squares, s.products = s.squares*f, s.products*f
	}
	s.at = now
	if math.Abs(deviation) > maxResidual {
		// The server has become faster or slower.
		return
	}
	s.squares += n * load * load
	s.products += n * load * deviation
}

// Profiler combines the samples of all entries; it has no clock and is not safe for concurrent use.
type Profiler struct {
	servers  map[string]*server
	services map[string]*service
	sentAt   time.Time
}

// New returns a Profiler without servers.
func New() *Profiler {
	return &Profiler{servers: make(map[string]*server), services: make(map[string]*service)}
}

// Set adds a server, or forgets its times if it started anew or serves another service.
func (p *Profiler) Set(id string, startedMS int64, serviceName string) {
	if s := p.servers[id]; s != nil && s.startedMS == startedMS && s.service == serviceName {
		return
	}
	p.servers[id] = &server{startedMS: startedMS, service: serviceName, sent: Speed{Server: id, Step: Usual, Prefill: Usual}}
	if p.services[serviceName] == nil {
		p.services[serviceName] = &service{}
	}
}

// Remove removes a server.
func (p *Profiler) Remove(id string) { delete(p.servers, id) }

// Adopt records the speeds that an earlier leader sent, so that those that changed since are sent.
func (p *Profiler) Adopt(list []Speed) {
	for _, v := range list {
		if s := p.servers[v.Server]; s != nil {
			s.sent = v
		}
	}
}

// Record adds a sample; those of unknown servers and impossible ones are ignored.
func (p *Profiler) Record(now time.Time, v Sample) {
	s := p.servers[v.Server]
	if s == nil {
		return
	}
	sv := p.services[s.service]
	if n := float64(v.Events); v.Events > 0 {
		load, sum := float64(v.Load)/unit, float64(v.Pause)/unit
		if load < 0 || load > n || sum < 0 || sum > n*maxMean {
			return
		}
		if m := &s.events.mean; m.n >= minRecent {
			sv.add(now, n, load/n-m.load/m.n, sum/n-m.sum/m.n)
		}
		s.events.add(now, n, load, sum, sv.slope())
	}
	if n := float64(v.Prompts); v.Prompts > 0 {
		load, sum := float64(v.Held)/unit, float64(v.First)/unit
		if load < 0 || load > n || math.Abs(sum) > n*maxMean {
			return
		}
		s.prompts.add(now, n, load, sum, sv.slope())
	}
}

// TakeChanged returns the speeds that changed since they were last returned, or nil if they aren't due.
func (p *Profiler) TakeChanged(now time.Time) []Speed {
	if now.Sub(p.sentAt) < sendEvery {
		return nil
	}
	p.sentAt = now
	var out []Speed
	for _, v := range p.Speeds(now) {
		s := p.servers[v.Server]
		if isChange(s.sent.Step, v.Step) || isChange(s.sent.Prefill, v.Prefill) {
			s.sent = v
			out = append(out, v)
		}
	}
	return out
}

func isChange(sent, v int) bool {
	return math.Abs(math.Log(float64(v)/float64(max(sent, 1)))) > minChange
}

// Sent returns the speeds last returned by TakeChanged, without those of usual servers.
func (p *Profiler) Sent() []Speed {
	var out []Speed
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		if v := p.servers[id].sent; v.Step != Usual || v.Prefill != Usual {
			out = append(out, v)
		}
	}
	return out
}

// Speeds returns the speeds of all servers, by ID.
func (p *Profiler) Speeds(now time.Time) []Speed {
	byService := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		s.events.decay(now)
		s.prompts.decay(now)
		byService[s.service] = append(byService[s.service], id)
	}
	var out []Speed
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		out = append(out, p.speedsOf(byService[name], p.services[name].slope())...)
	}
	return out
}

// speedsOf returns the speeds of a service's servers. Few samples count little: without any, a server is a usual one.
func (p *Profiler) speedsOf(ids []string, slope float64) []Speed {
	eventMedian, hasEvents := p.median(ids, func(s *server) *mean { return &s.events.mean }, slope)
	promptMedian, hasPrompts := p.median(ids, func(s *server) *mean { return &s.prompts.mean }, slope)
	out := make([]Speed, 0, len(ids))
	for _, id := range ids {
		s := p.servers[id]
		step := 0.0
		if m := &s.events.mean; hasEvents && m.n > 0 {
			step = (eventMedian - m.value(slope)) * m.n / (m.n + eventPrior)
		}
		prefill := step
		if m := &s.prompts.mean; hasPrompts && m.n > 0 {
			share := m.n / (m.n + promptPrior)
			prefill += (promptMedian - m.value(slope) - step) * share
		}
		out = append(out, Speed{Server: id, Step: speedOf(step), Prefill: speedOf(prefill)})
	}
	return out
}

func speedOf(logarithm float64) int {
	return hundredths(min(max(math.Exp(logarithm), minSpeed), maxSpeed))
}

// median returns the median of the means of the servers that have samples; false if they are too few to compare.
func (p *Profiler) median(ids []string, of func(*server) *mean, slope float64) (float64, bool) {
	var values []float64
	for _, id := range ids {
		if m := of(p.servers[id]); m.n >= 1 {
			values = append(values, m.value(slope))
		}
	}
	if len(values) < minServers {
		return 0, false
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2, true
}
