package surveyor

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

// announceInterval is the time between a backend server's announcements.
const announceInterval = time.Second

// surveyAdapters computes the memory per adapter from catalogs of two sizes.
func surveyAdapters(_ context.Context, cfg Config) ([]Slope, error) {
	small := cfg.Adapters / 4
	first, err := catalogBytes(small)
	if err != nil {
		return nil, err
	}
	second, err := catalogBytes(cfg.Adapters)
	if err != nil {
		return nil, err
	}
	return []Slope{{
		Per: "adapter", Cost: "memory at an entry or a control replica", Unit: "B",
		Value: float64(second-first) / float64(cfg.Adapters-small),
	}}, nil
}

func catalogBytes(n int) (int64, error) {
	before := heapBytes()
	c, err := configurer.NewCatalog(1, adapterDoc(n))
	if err != nil {
		return 0, errors.Wrap(err, "build catalog")
	}
	after := heapBytes()
	runtime.KeepAlive(c)
	return int64(after) - int64(before), nil
}

func adapterDoc(n int) configurer.Doc {
	doc := configurer.Doc{
		Classes:  []configurer.ClassSpec{{Name: "chat", Urgent: true, First: "2s"}},
		Services: []configurer.ServiceSpec{{Name: "base", Kind: configurer.KindModel, Classes: []string{"chat"}}},
	}
	for i := range n {
		doc.Adapters = append(doc.Adapters, adapterSpec(i))
	}
	return doc
}

func adapterSpec(i int) configurer.AdapterSpec {
	name := fmt.Sprintf("adapter-%06d", i)
	return configurer.AdapterSpec{
		Name: name, Service: "base", Current: 1, Versions: []configurer.VersionSpec{
			{Number: 1, Source: "store/" + name + "/1", Digest: fmt.Sprintf("%064x", i)},
		},
	}
}

// measureUsage returns the usage before and after a window in which f runs at the given interval.
func (cl *cluster) measureUsage(ctx context.Context, window, interval time.Duration, f func()) (before, after usage, err error) {
	if before, err = cl.usage(); err != nil {
		return before, after, err
	}
	for end := before.at.Add(window); time.Now().Before(end); {
		f()
		if err = sleep(ctx, interval); err != nil {
			return before, after, err
		}
	}
	after, err = cl.usage()
	return before, after, err
}

// idleUsage is an idle deployment's usage: processor seconds and bytes per second, and live heap in bytes.
type idleUsage struct{ cpu, heap, toLeader, fromLeader float64 }

func measureIdleUsage(ctx context.Context, cfg Config, entries, servers int) (_ idleUsage, err error) {
	cl, err := newCluster(ctx, cfg, entries)
	if err != nil {
		return idleUsage{}, err
	}
	defer func() { err = errors.Join(err, cl.Close()) }()
	cl.announceServers(servers)
	if err := cl.await(ctx, func() bool { return len(cl.clients[0].Roster().Servers("base")) >= servers }); err != nil {
		return idleUsage{}, err
	}
	// During the first window the startup traffic ends; the second is measured.
	announceAll := func() { cl.announceServers(servers) }
	if _, _, err := cl.measureUsage(ctx, cfg.Window, announceInterval, announceAll); err != nil {
		return idleUsage{}, err
	}
	a, b, err := cl.measureUsage(ctx, cfg.Window, announceInterval, announceAll)
	if err != nil {
		return idleUsage{}, err
	}
	s := b.at.Sub(a.at).Seconds()
	return idleUsage{
		cpu:        (b.cpu - a.cpu).Seconds() / s,
		heap:       float64(b.heap),
		toLeader:   float64(b.toLeader-a.toLeader) / s,
		fromLeader: float64(b.fromLeader-a.fromLeader) / s,
	}, nil
}

// surveyEntries computes the cost of an idle entry from two numbers of entries.
func surveyEntries(ctx context.Context, cfg Config) ([]Slope, error) {
	small := max(1, cfg.Entries/8)
	a, err := measureIdleUsage(ctx, cfg, small, 0)
	if err != nil {
		return nil, err
	}
	b, err := measureIdleUsage(ctx, cfg, cfg.Entries, 0)
	if err != nil {
		return nil, err
	}
	return a.slopes(b, "idle entry", float64(cfg.Entries-small)), nil
}

// surveyServers computes the cost of a backend server, over all entries, from two numbers of servers.
func surveyServers(ctx context.Context, cfg Config) ([]Slope, error) {
	small := max(1, cfg.Servers/8)
	entries := max(1, cfg.Entries/8)
	a, err := measureIdleUsage(ctx, cfg, entries, small)
	if err != nil {
		return nil, err
	}
	b, err := measureIdleUsage(ctx, cfg, entries, cfg.Servers)
	if err != nil {
		return nil, err
	}
	per := fmt.Sprintf("announced server, %d entries", entries)
	return a.slopes(b, per, float64(cfg.Servers-small)), nil
}

// slopes returns the difference between two rates divided by n. Processor time and memory are those of the leader and
// the entries together, because they share the survey's process.
func (a idleUsage) slopes(b idleUsage, per string, n float64) []Slope {
	return []Slope{
		{Per: per, Cost: "bytes to the leader", Unit: "B/s", Value: (b.toLeader - a.toLeader) / n},
		{Per: per, Cost: "bytes from the leader", Unit: "B/s", Value: (b.fromLeader - a.fromLeader) / n},
		{Per: per, Cost: "processor time, leader and entries", Unit: "% of a core", Value: 100 * (b.cpu - a.cpu) / n},
		{Per: per, Cost: "memory, leader and entries", Unit: "B", Value: (b.heap - a.heap) / n},
	}
}

// surveyCalls measures sequential configuration changes, load permits and bookings with one entry.
func surveyCalls(ctx context.Context, cfg Config) (_ []Slope, err error) {
	cl, err := newCluster(ctx, cfg, 1)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, cl.Close()) }()
	cl.announceServers(1)
	if err := cl.await(ctx, func() bool { return len(cl.clients[0].Roster().Servers("base")) == 1 }); err != nil {
		return nil, err
	}
	if err := cl.applyBaseConfig(); err != nil {
		return nil, err
	}
	if err := cl.await(ctx, func() bool { return cl.clients[0].Catalog().Revision() > 0 }); err != nil {
		return nil, err
	}
	cl.baseRevision = int(cl.clients[0].Catalog().Revision())
	calls := []struct {
		per  string
		call func(ctx context.Context, i int) error
	}{
		{"configuration change", cl.applyAdapter},
		{"wake-up (load permit)", cl.requestPermit},
		{"booking (begin and end)", cl.book},
	}
	var slopes []Slope
	for _, c := range calls {
		s, err := cl.surveyCall(ctx, cfg.Calls, c.per, c.call)
		if err != nil {
			return slopes, errors.Wrap(err, c.per)
		}
		slopes = append(slopes, s...)
	}
	return slopes, nil
}

func (cl *cluster) surveyCall(ctx context.Context, n int, per string, call func(context.Context, int) error) ([]Slope, error) {
	a, err := cl.usage()
	if err != nil {
		return nil, err
	}
	for i := range n {
		if err := call(ctx, i); err != nil {
			return nil, err
		}
	}
	b, err := cl.usage()
	if err != nil {
		return nil, err
	}
	calls := float64(n)
	return []Slope{
		{Per: per, Cost: "bytes to the leader", Unit: "B", Value: float64(b.toLeader-a.toLeader) / calls},
		{Per: per, Cost: "bytes from the leader", Unit: "B", Value: float64(b.fromLeader-a.fromLeader) / calls},
		{Per: per, Cost: "data folder", Unit: "B", Value: float64(b.folder-a.folder) / calls},
		{Per: per, Cost: "processor time, leader, entry and operator", Unit: "µs", Value: float64((b.cpu - a.cpu).Microseconds()) / calls},
		{Per: per, Cost: "memory, leader and entry", Unit: "B", Value: float64(int64(b.heap)-int64(a.heap)) / calls},
		{Per: per, Cost: "elapsed time", Unit: "µs", Value: float64(b.at.Sub(a.at).Microseconds()) / calls},
	}, nil
}

func (cl *cluster) requestPermit(ctx context.Context, i int) error {
	p, err := cl.clients[0].Permit(ctx, registrar.LoadRequest{
		Server: "engine-000", Target: configurer.Target{Service: "base", Adapter: fmt.Sprint(i), Version: 1}, Urgent: true, Rate: 1,
	})
	if err != nil {
		return err
	}
	cl.clients[0].ReturnPermit(p, true)
	return nil
}

func (cl *cluster) book(ctx context.Context, i int) error {
	key := recorder.Key{Caller: "0123456789abcdef", Service: "orders", Key: fmt.Sprintf("order-%08d", i)}
	attempt := fmt.Sprintf("entry-000.1.%x", i)
	reply, err := cl.clients[0].BeginBooking(ctx, recorder.Begin{Key: key, Attempt: attempt, Entry: "entry-000", Incarnation: 1})
	if err != nil {
		return err
	}
	if reply.Decision != recorder.DecisionRun {
		return errors.Errorf("booking %d: verdict %d", i, reply.Decision)
	}
	answer := recorder.Answer{Status: 201, Type: "application/json", Body: []byte(`{"order":"12345678","crates":2}`)}
	return cl.clients[0].EndBooking(ctx, recorder.End{Key: key, Attempt: attempt, Outcome: recorder.OutcomeDone, Answer: answer})
}
