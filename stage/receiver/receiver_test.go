package receiver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/streamer"
)

// fakeControl is a fake control role with the given lease and revision.
type fakeControl struct {
	revision uint64
	lease    time.Duration
}

func (c fakeControl) Catalog() *configurer.Catalog {
	cat, err := configurer.NewCatalog(c.revision, configurer.Doc{
		Classes:  []configurer.ClassSpec{{Name: "chat"}},
		Services: []configurer.ServiceSpec{{Name: "base", Kind: configurer.KindModel, Classes: []string{"chat"}}},
	})
	if err != nil {
		panic(err)
	}
	return cat
}

func (c fakeControl) Roster() *registrar.Roster { return registrar.NewRoster(1, nil, nil, nil) }
func (c fakeControl) LeaseEnd() time.Time       { return time.Now().Add(c.lease) }
func (c fakeControl) Announce(registrar.Server) {}

// Execute implements Executor; its message shows that the request passed the lease check.
func (c fakeControl) Execute(context.Context, *streamer.Request, streamer.Sink) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: streamer.ReasonNoServer, Message: "resolved"}
}

// An entry may resolve a name to a version only while its lease rules out a later configuration elsewhere.
func TestLease(t *testing.T) {
	tests := []struct {
		name     string
		control  fakeControl
		ready    int
		resolved bool
	}{
		{name: "lease", control: fakeControl{revision: 3, lease: time.Hour}, ready: http.StatusOK, resolved: true},
		{name: "lease ended", control: fakeControl{revision: 3, lease: -time.Millisecond}, ready: http.StatusServiceUnavailable},
		{name: "no configuration yet", control: fakeControl{lease: time.Hour}, ready: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			r := New(ln, Config{LeaseWait: time.Millisecond}, Deps{
				Control: tt.control, Executor: tt.control,
				Meter: meter.New(prometheus.NewRegistry()), Log: logger.New(io.Discard, "error").Component("entry"),
			})
			defer func() { c.Check(r.Close(context.Background()), qt.IsNil) }()
			url := "http://" + ln.Addr().String()
			ready, err := http.Get(url + "/readyz")
			c.Assert(err, qt.IsNil)
			defer ready.Body.Close()
			c.Check(ready.StatusCode, qt.Equals, tt.ready)
			res, err := http.Post(url+"/v1/completions", "application/json", bytes.NewBufferString(`{"model":"base","prompt":"x"}`))
			c.Assert(err, qt.IsNil)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			c.Assert(err, qt.IsNil)
			c.Check(res.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
			c.Check(res.Header.Get(marker.Outcome), qt.Equals, "not-run")
			c.Check(bytes.Contains(body, []byte("resolved")), qt.Equals, tt.resolved, qt.Commentf("%s", body))
		})
	}
}
