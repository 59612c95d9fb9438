package rehearser

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/loader"
	"redwingstage.org/standin/cutter"
	"redwingstage.org/standin/launcher"
)

// relayedFolder is the subfolder for the settings of entries that connect to control replicas through relays.
const relayedFolder = "relayed"

const folderMode = 0o755

// StartRelays inserts a relay between every entry and each of its control replicas; call it before the entries start.
func (r *Rehearser) StartRelays(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Join(r.cfg.Folder, relayedFolder), folderMode); err != nil {
		return errors.Wrap(err, "create settings folder")
	}
	for _, e := range r.entries {
		if err := r.relayEntry(ctx, e); err != nil {
			return errors.Wrapf(err, "start relays of %s", e.Name())
		}
	}
	return nil
}

func (r *Rehearser) relayEntry(ctx context.Context, e *loader.Settings) error {
	var addrs []string
	for _, target := range e.Entry().ControlAddrs() {
		c, err := cutter.New(ctx, "127.0.0.1:0", target)
		if err != nil {
			return err
		}
		r.relays[e.Name()] = append(r.relays[e.Name()], c)
		addrs = append(addrs, c.Addr())
	}
	file := filepath.Join(r.cfg.Folder, relayedFolder, filepath.Base(e.File()))
	if err := writeRelayedSettings(file, e.File(), addrs); err != nil {
		return err
	}
	r.specs[e.Name()] = launcher.Spec{
		Name: e.Name(), Path: filepath.Join(r.cfg.Bin, daemonBinary), Args: []string{"--level", "warn", "run", file},
	}
	return nil
}

// writeRelayedSettings copies an entry's settings, replacing the control replicas' addresses.
func writeRelayedSettings(dst, src string, controls []string) error {
	b, err := os.ReadFile(src)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return errors.Wrap(err, src)
	}
	if fields["controls"], err = json.Marshal(controls); err != nil {
		return errors.Wrap(err, "encode addresses")
	}
	if b, err = json.Marshal(fields); err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(dst, b, fileMode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}

// CutControl drops all traffic between an entry and the control replicas in both directions.
func (r *Rehearser) CutControl(entry string) {
	for _, c := range r.relays[entry] {
		c.Cut(cutter.Both)
	}
}

// RestoreControl restores an entry's traffic to the control replicas and resets its connections.
func (r *Rehearser) RestoreControl(entry string) {
	for _, c := range r.relays[entry] {
		c.Restore()
		c.Reset()
	}
}

// Owner returns the name of the entry that owns a backend server, or "" if none does.
func (r *Rehearser) Owner(server string) (string, error) {
	out, err := r.RunOperator("--json", "status")
	if err != nil {
		return "", err
	}
	var st struct {
		Servers []struct {
			Name  string `json:"name"`
			Owner string `json:"owner"`
		} `json:"servers"`
	}
	if err := json.Unmarshal([]byte(out), &st); err != nil {
		return "", errors.Wrap(err, "decode status")
	}
	for _, s := range st.Servers {
		if s.Name == server {
			return s.Owner, nil
		}
	}
	return "", nil
}

// Close kills all processes and closes the relays.
func (r *Rehearser) Close() error {
	errs := []error{r.Launcher.Close()}
	for _, list := range r.relays {
		for _, c := range list {
			errs = append(errs, c.Close())
		}
	}
	return errors.Join(errs...)
}
