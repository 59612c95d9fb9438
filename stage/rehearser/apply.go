package rehearser

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/operator"
	"redwingstage.org/stage/questioner"
)

// adaptersDocFile is the document of adapters that Apply adds to the initial configuration.
const adaptersDocFile = "adapters.json"

const (
	retryInterval = 300 * time.Millisecond
	applyTimeout  = 60 * time.Second
	fileMode      = 0o644
)

// AdapterPrefix is the prefix of adapter names; the load generator uses the same one.
const AdapterPrefix = "adapter"

// AdapterName returns the name of the adapter with the 0-based index i.
func AdapterName(i int) string { return fmt.Sprintf("%s-%d", AdapterPrefix, i+1) }

// Apply applies the initial configuration and n adapters for each model service, retrying each for up to 60 s.
func (r *Rehearser) Apply(ctx context.Context, n int) error {
	if err := r.writeAdapters(n); err != nil {
		return err
	}
	for _, name := range []string{questioner.DocFile, adaptersDocFile} {
		if err := r.retry(ctx, func() error {
			_, err := r.RunOperator("apply", "--wait", filepath.Join(r.cfg.Folder, name))
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// RunOperator runs the operators' command line with argv and returns its output.
func (r *Rehearser) RunOperator(argv ...string) (string, error) {
	return operator.Output(&bytes.Buffer{}, append([]string{
		"--operators", filepath.Join(r.cfg.Folder, questioner.OperatorsFile),
		"--token", filepath.Join(r.cfg.Folder, questioner.TokenFile),
	}, argv...)...)
}

func (r *Rehearser) retry(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

func (r *Rehearser) writeAdapters(n int) error {
	var doc configurer.Doc
	for _, service := range r.modelServices {
		for i := range n {
			name := AdapterName(i)
			doc.Adapters = append(doc.Adapters, configurer.AdapterSpec{
				Name: name, Service: service, Current: 1, Versions: []configurer.VersionSpec{
					{Number: 1, Source: "store/" + name + "/1", Digest: fmt.Sprintf("%064x", i+1)},
				},
			})
		}
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode adapters")
	}
	if err := os.WriteFile(filepath.Join(r.cfg.Folder, adaptersDocFile), b, fileMode); err != nil {
		return errors.Wrap(err, "write adapters")
	}
	return nil
}
