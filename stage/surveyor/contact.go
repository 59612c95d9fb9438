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

// contact is an entry that owns one idle engine; relays count the bytes between the two.
type contact struct {
	*world
	engine   *inferer.Server
	entry    *dispatcher.Dispatcher
	polls    *cutter.Cutter
	announce *cutter.Cutter
	http     http.Client
}

// surveyContact measures the traffic of an idle engine's announcements and of its owner's polls.
func surveyContact(ctx context.Context, cfg Config) (_ []Slope, err error) {
	w, err := newWorld(ctx, cfg, 1)
	if err != nil {
		return nil, err
	}
	c := &contact{world: w}
	defer func() { err = errors.Join(err, c.close()) }()
	if err := w.prepare(); err != nil {
		return nil, err
	}
	if err := c.startContact(ctx); err != nil {
		return nil, err
	}
	// During the first window the entry takes ownership of the engine; the second is measured.
	if _, _, err := c.window(ctx, cfg.Window); err != nil {
		return nil, err
	}
	announced, polled, err := c.window(ctx, cfg.Window)
	if err != nil {
		return nil, err
	}
	return []Slope{
		{Of: "owned idle server", Cost: "announcements to entries, both ways", Unit: "B/s", Value: announced},
		{Of: "owned idle server", Cost: "polls by its owner, both ways", Unit: "B/s", Value: polled},
	}, nil
}

func (c *contact) startContact(ctx context.Context) (err error) {
	c.engine, err = inferer.New(inferer.Config{
		Name: "engine-1", Addr: "127.0.0.1:0", Zone: "dc-0", Service: "base", Seed: 1,
		Model: modeler.Config{Slots: 8, Batch: 16},
	})
	if err != nil {
		return errors.Wrap(err, "start engine")
	}
	if c.polls, err = cutter.New(ctx, "127.0.0.1:0", c.engine.Addr()); err != nil {
		return err
	}
	peers, err := launcher.FreeAddr(ctx)
	if err != nil {
		return err
	}
	c.entry, err = dispatcher.New(dispatcher.Config{
		Name: "entry-000", Incarnation: 1, Zone: "dc-0", Callers: "127.0.0.1:0", Peers: peers,
	}, c.clients[0], dispatcher.WithLog(logger.New(io.Discard, "error")))
	if err != nil {
		return errors.Wrap(err, "start entry")
	}
	c.announce, err = cutter.New(ctx, "127.0.0.1:0", c.entry.Callers())
	return err
}

// window announces the engine every second and returns the bytes per second of announcements and polls.
func (c *contact) window(ctx context.Context, window time.Duration) (announced, polled float64, err error) {
	a, p, began := total(c.announce), total(c.polls), time.Now()
	for time.Since(began) < window {
		if err := c.announceOnce(ctx); err != nil {
			return 0, 0, err
		}
		if err := sleep(ctx, announceInterval); err != nil {
			return 0, 0, err
		}
	}
	s := time.Since(began).Seconds()
	return float64(total(c.announce)-a) / s, float64(total(c.polls)-p) / s, nil
}

func total(c *cutter.Cutter) int64 {
	forward, backward := c.Bytes()
	return forward + backward
}

func (c *contact) announceOnce(ctx context.Context) error {
	body := fmt.Sprintf(`{"name":"engine-1","kind":"model","addr":%q,"zone":"dc-0","service":"base",`+
		`"incarnation":"a3f0","slots":8,"batch":16,"fenced":true,"leaving":false}`, c.polls.Addr())
	url := "http://" + c.announce.Addr() + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "create announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	return res.Body.Close()
}

// close stops all started components, the entry before its control client.
func (c *contact) close() error {
	var errs []error
	if c.entry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		errs = append(errs, c.entry.Close(ctx))
	}
	for _, r := range []*cutter.Cutter{c.announce, c.polls} {
		if r != nil {
			errs = append(errs, r.Close())
		}
	}
	if c.engine != nil {
		errs = append(errs, c.engine.Close())
	}
	return errors.Join(append(errs, c.Close())...)
}
