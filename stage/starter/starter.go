package starter

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/certifier"
	"redwingstage.org/stage/controller"
	"redwingstage.org/stage/dispatcher"
	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/receiver"
)

// drainTimeout bounds the wait for requests in flight.
const drainTimeout = 5 * time.Minute

// Process is a running role; Close shuts it down gracefully.
type Process interface{ Close() error }

// Start starts the role that the settings name.
func Start(s *loader.Settings, log *logger.Logger) (Process, error) {
	if s.Role() == loader.RoleControl {
		return startControl(s, log)
	}
	return startEntry(s, log)
}

// entry is a dispatcher with its control client.
type entry struct {
	client *controller.Client
	disp   *dispatcher.Dispatcher
}

// Close drains requests and then closes the control session.
func (e *entry) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return errors.Join(e.disp.Close(ctx), e.client.Close())
}

func startEntry(s *loader.Settings, log *logger.Logger) (Process, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	client, err := controller.NewClient(controller.ClientConfig{
		Name: s.Name(), Incarnation: incarnation, Addr: s.PeersAddr(), Zone: s.Zone(), ControlAddrs: s.Entry().ControlAddrs(),
	}, controller.WithClientLogger(log.Base()))
	if err != nil {
		return nil, errors.Wrap(err, "start the control client")
	}
	limits := s.Entry().Limits()
	disp, err := dispatcher.New(dispatcher.Config{
		Name: s.Name(), Incarnation: incarnation, Zone: s.Zone(),
		CallersAddr: s.Entry().CallersAddr(), PeersAddr: s.PeersAddr(), MetricsAddr: s.MetricsAddr(),
		Limits: receiver.Config{
			MaxBody: limits.MaxBodyBytes(), MaxConns: limits.MaxConns(), MaxUnread: limits.MaxUnreadBytes(),
			MaxBuffered: int64(limits.MaxBufferedBytes()),
			ReadTimeout: limits.ReadTimeout(), IdleTimeout: limits.IdleTimeout(), WriteTimeout: limits.WriteTimeout(),
		},
	}, client, dispatcher.WithLog(log))
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "start the entry"), client.Close())
	}
	return &entry{client: client, disp: disp}, nil
}

// newIncarnation returns a random id, unique to this run.
func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "draw an incarnation")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

func startControl(s *loader.Settings, log *logger.Logger) (Process, error) {
	c := s.Control()
	tokens, err := readTokens(c.TokensFile())
	if err != nil {
		return nil, err
	}
	var tlsCfg *tls.Config
	if t := c.TLS(); t.CertFile() != "" {
		cert, err := certifier.New(t.CertFile(), t.KeyFile(), log.Component("control"))
		if err != nil {
			return nil, errors.Wrap(err, "operators' listener")
		}
		tlsCfg = cert.ServerConfig()
	}
	members := make([]runner.Member, 0, len(c.Members()))
	for _, m := range c.Members() {
		members = append(members, runner.Member{ID: m.ID(), Addr: m.Addr()})
	}
	ctl, err := controller.New(controller.Config{
		ID: c.ID(), Cluster: c.Cluster(), Addr: s.PeersAddr(), OperatorsAddr: c.OperatorsAddr(), TLS: tlsCfg, MetricsAddr: s.MetricsAddr(),
		DataFolder: c.DataFolder(), Members: members, Tokens: tokens,
		Store: registrar.StoreLimits{Rate: c.Store().LoadsPerSecond(), Parallel: c.Store().Parallel()},
	}, controller.WithLogger(log.Base()))
	if err != nil {
		return nil, errors.Wrap(err, "start the control replica")
	}
	return ctl, nil
}

// readTokens reads the operators' tokens for the controller.
func readTokens(path string) ([]controller.Token, error) {
	list, err := loader.LoadTokens(path)
	if err != nil {
		return nil, err
	}
	tokens := make([]controller.Token, 0, len(list))
	for _, t := range list {
		tokens = append(tokens, controller.Token{Name: t.Name(), Token: t.Secret()})
	}
	return tokens, nil
}
