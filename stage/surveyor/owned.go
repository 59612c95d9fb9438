package surveyor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/dispatcher"
	"redwingstage.org/stage/logger"
	"redwingstage.org/standin/cutter"
	"redwingstage.org/standin/inferer"
	"redwingstage.org/standin/launcher"
	"redwingstage.org/standin/modeler"
)

// closeTimeout limits the shutdown of the survey's entry.
const closeTimeout = 5 * time.Second

// ownedEngine is an entry that owns one idle engine; relays count the bytes between the two.
type ownedEngine struct {
	*cluster
	engine        *inferer.Server
	entry         *dispatcher.Dispatcher
	pollRelay     *cutter.Cutter
	announceRelay *cutter.Cutter
	httpClient    http.Client
}

// surveyOwnedEngine measures the traffic of an idle engine's announcements and of its owner's polls.
func surveyOwnedEngine(ctx context.Context, cfg Config) (_ []Slope, err error) {
	cl, err := newCluster(ctx, cfg, 1)
	if err != nil {
		return nil, err
	}
	o := &ownedEngine{cluster: cl}
	defer func() { err = errors.Join(err, o.close()) }()
	if err := cl.applyBaseConfig(); err != nil {
		return nil, err
	}
	if err := o.startEngineAndEntry(ctx); err != nil {
		return nil, err
	}
	// During the first window the entry takes ownership of the engine; the second is measured.
	if _, _, err := o.measureTraffic(ctx, cfg.Window); err != nil {
		return nil, err
	}
	announced, polled, err := o.measureTraffic(ctx, cfg.Window)
	if err != nil {
		return nil, err
	}
	return []Slope{
		{Per: "owned idle server", Cost: "announcements to entries, both ways", Unit: "B/s", Value: announced},
		{Per: "owned idle server", Cost: "polls by its owner, both ways", Unit: "B/s", Value: polled},
	}, nil
}

func (o *ownedEngine) startEngineAndEntry(ctx context.Context) (err error) {
	o.engine, err = inferer.New(inferer.Config{
		Name: "engine-1", Addr: "127.0.0.1:0", Zone: "dc-0", Service: "base", Seed: 1,
		Model: modeler.Config{Slots: 8, Batch: 16},
	})
	if err != nil {
		return errors.Wrap(err, "start engine")
	}
	if o.pollRelay, err = cutter.New(ctx, "127.0.0.1:0", o.engine.Addr()); err != nil {
		return err
	}
	peers, err := launcher.FreeAddr(ctx)
	if err != nil {
		return err
	}
	o.entry, err = dispatcher.New(dispatcher.Config{
		Name: "entry-000", Incarnation: 1, Zone: "dc-0", CallersAddr: "127.0.0.1:0", PeersAddr: peers,
	}, o.clients[0], dispatcher.WithLog(logger.New(io.Discard, "error")))
	if err != nil {
		return errors.Wrap(err, "start entry")
	}
	o.announceRelay, err = cutter.New(ctx, "127.0.0.1:0", o.entry.Callers())
	return err
}

// measureTraffic announces the engine every second and returns the bytes per second of announcements and polls.
func (o *ownedEngine) measureTraffic(ctx context.Context, window time.Duration) (announced, polled float64, err error) {
	a, p, began := totalBytes(o.announceRelay), totalBytes(o.pollRelay), time.Now()
	for time.Since(began) < window {
		if err := o.announceOnce(ctx); err != nil {
			return 0, 0, err
		}
		if err := sleep(ctx, announceInterval); err != nil {
			return 0, 0, err
		}
	}
	s := time.Since(began).Seconds()
	return float64(totalBytes(o.announceRelay)-a) / s, float64(totalBytes(o.pollRelay)-p) / s, nil
}

func totalBytes(c *cutter.Cutter) int64 {
	forward, backward := c.Bytes()
	return forward + backward
}

func (o *ownedEngine) announceOnce(ctx context.Context) error {
	body := fmt.Sprintf(`{"name":"engine-1","kind":"model","addr":%q,"zone":"dc-0","service":"base",`+
		`"incarnation":"a3f0","slots":8,"batch":16,"fenced":true,"leaving":false}`, o.pollRelay.Addr())
	url := "http://" + o.announceRelay.Addr() + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "create announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := o.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	return res.Body.Close()
}

// close stops all started components, the entry before its control client.
func (o *ownedEngine) close() error {
	var errs []error
	if o.entry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		errs = append(errs, o.entry.Close(ctx))
	}
	for _, r := range []*cutter.Cutter{o.announceRelay, o.pollRelay} {
		if r != nil {
			errs = append(errs, r.Close())
		}
	}
	if o.engine != nil {
		errs = append(errs, o.engine.Close())
	}
	return errors.Join(append(errs, o.Close())...)
}
