package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/operator"
)

// Service names.
const (
	modelService = "base"
	orderService = "orders"
)

const (
	adapterCount  = 40
	retryInterval = 200 * time.Millisecond
	startTimeout  = 20 * time.Second
	secretMode    = 0o600
)

// initialConfig returns the demo's configuration: a model service with 40 adapters and an order service.
func initialConfig() configurer.Doc {
	doc := configurer.Doc{
		Classes: []configurer.ClassSpec{
			{Name: "chat", Urgent: true, First: "2s", Total: "60s"},
			{Name: "report", Long: true, Total: "8h"},
			{Name: "order", Urgent: true, First: "1s", Total: "10s"},
		},
		Services: []configurer.ServiceSpec{
			{Name: modelService, Kind: configurer.KindModel, Classes: []string{"chat", "report"}},
			{Name: orderService, Kind: configurer.KindPlain, Classes: []string{"order"}, Calls: []configurer.CallSpec{
				{Method: http.MethodGet, Path: "/stock/*", Idempotent: true},
				{Method: http.MethodPost, Path: "/bookings", Idempotent: false},
			}},
		},
	}
	for i := range adapterCount {
		name := fmt.Sprintf("gym-%d", i+1)
		doc.Adapters = append(doc.Adapters, configurer.AdapterSpec{
			Name: name, Service: modelService, Current: 1,
			Versions: []configurer.VersionSpec{{Number: 1, Source: "store/" + name + "/1", Digest: fmt.Sprintf("%064x", i+1)}},
		})
	}
	return doc
}

// apply applies the document through the operators' command line, retrying until the control replica leads.
func (d *Demonstrator) apply(ctx context.Context, doc configurer.Doc) error {
	b, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	tokenFile := filepath.Join(d.cfg.Folder, "operator.token")
	if err := os.WriteFile(tokenFile, []byte(OperatorToken.Token), secretMode); err != nil {
		return errors.Wrap(err, "write token")
	}
	return retry(ctx, "apply initial configuration", func(context.Context) error {
		_, err := operator.Output(bytes.NewReader(b), "--addrs="+d.cfg.Operators, "--token", tokenFile, "apply", "--wait", "--timeout", "5s", "-")
		return err
	})
}

// awaitAnswer waits until an entry answers a request to an engine and one to the order service.
func awaitAnswer(ctx context.Context, addr string) error {
	return retry(ctx, "wait for first answer from "+addr, func(ctx context.Context) error {
		body := []byte(`{"model":"` + modelService + `","max_tokens":1,"prompt":"ready"}`)
		if err := call(ctx, http.MethodPost, addr, "/v1/completions", body); err != nil {
			return err
		}
		return call(ctx, http.MethodGet, addr, "/services/"+orderService+"/stock/crate", nil)
	})
}

// retry calls f until it succeeds, for up to 20 s; operation describes f in the error.
func retry(ctx context.Context, operation string, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, operation)
		case <-time.After(retryInterval):
		}
	}
}

// call sends a request to an entry and returns an error unless the status is 200.
func call(ctx context.Context, method, addr, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: %s: %s", method, path, res.Status, b)
	}
	return nil
}
