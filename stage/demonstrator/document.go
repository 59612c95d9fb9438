package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
)

// The demonstration's services.
const (
	modelService = "base"
	orderService = "orders"
)

const (
	adapters     = 40
	retryPause   = 200 * time.Millisecond
	startTimeout = 20 * time.Second
)

// document returns a small configuration of the kind that teams use.
func document() configurer.Doc {
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
	for i := range adapters {
		name := fmt.Sprintf("gym-%d", i+1)
		doc.Adapters = append(doc.Adapters, configurer.AdapterSpec{
			Name: name, Service: modelService, Current: 1,
			Versions: []configurer.VersionSpec{{Number: 1, Source: "store/" + name + "/1", Digest: fmt.Sprintf("%064x", i+1)}},
		})
	}
	return doc
}

// changeRequest is an operators' API call that applies a document.
type changeRequest struct {
	Change  string         `json:"change"`
	Expect  uint64         `json:"expect"`
	Doc     configurer.Doc `json:"doc"`
	Wait    bool           `json:"wait"`
	Timeout string         `json:"timeout"`
}

// statusReply is what is read of the operators' status.
type statusReply struct {
	Revision uint64 `json:"revision"`
}

// apply brings the document into force, once the control replica leads.
func apply(ctx context.Context, addr string, doc configurer.Doc) error {
	return retry(ctx, "apply the first configuration", func(ctx context.Context) error {
		return tryApply(ctx, addr, doc)
	})
}

// awaitAnswer waits until an entry answers for an engine and for the order service.
func awaitAnswer(ctx context.Context, addr string) error {
	return retry(ctx, "wait for the first answer of "+addr, func(ctx context.Context) error {
		body := []byte(`{"model":"` + modelService + `","max_tokens":1,"prompt":"ready"}`)
		if err := call(ctx, http.MethodPost, addr, "/v1/completions", body, nil); err != nil {
			return err
		}
		return call(ctx, http.MethodGet, addr, "/services/"+orderService+"/stock/crate", nil, nil)
	})
}

// retry calls f until it succeeds.
func retry(ctx context.Context, what string, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, what)
		case <-time.After(retryPause):
		}
	}
}

func tryApply(ctx context.Context, addr string, doc configurer.Doc) error {
	var st statusReply
	if err := call(ctx, http.MethodGet, addr, "/v1/status", nil, &st); err != nil {
		return err
	}
	body, err := json.Marshal(changeRequest{
		Change: fmt.Sprintf("demo-%d", st.Revision), Expect: st.Revision, Doc: doc, Wait: true, Timeout: "5s",
	})
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	return call(ctx, http.MethodPost, addr, "/v1/apply", body, nil)
}

func call(ctx context.Context, method, addr, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+Operator.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the own API")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if res.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, path, res.Status, b)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(b, into); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
