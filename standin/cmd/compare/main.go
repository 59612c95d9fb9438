package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/standin/comparer"
)

type args struct {
	Seeds     int    `arg:"--seeds" default:"3" help:"runs of each policy on each scenario"`
	Parallel  int    `arg:"--parallel" default:"4" help:"runs at a time"`
	Teams     string `arg:"--teams" help:"names of the teams, separated by commas; all if empty"`
	Scenarios string `arg:"--scenarios" help:"names of the scenarios, separated by commas; all if empty"`
	Policies  string `arg:"--policies" help:"names of the policies, separated by commas; all if empty"`
	Excess    bool   `arg:"--excess" help:"print where stalls and late first tokens come from"`
	JSON      string `arg:"--json" help:"file for the figures as JSON"`
	Plots     string `arg:"--plots" help:"folder for the plots, one below it for each team"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if err := run(a); err != nil {
		p.Fail(err.Error())
	}
}

func run(a args) error {
	deployments, err := selectByName(comparer.Deployments(), a.Teams, func(t comparer.Deployment) string { return t.Name })
	if err != nil {
		return errors.Wrap(err, "teams")
	}
	scenarios, err := selectByName(comparer.Scenarios(), a.Scenarios, func(s comparer.Scenario) string { return s.Name })
	if err != nil {
		return errors.Wrap(err, "scenarios")
	}
	policies, err := selectByName(comparer.Policies(), a.Policies, func(p comparer.Policy) string { return p.Name })
	if err != nil {
		return errors.Wrap(err, "policies")
	}
	if a.Seeds < 1 {
		return errors.New("seeds: at least one")
	}
	rep := comparer.Compare(deployments, scenarios, policies, a.Seeds, a.Parallel)
	if err := rep.WriteTable(os.Stdout, a.Excess); err != nil {
		return errors.Wrap(err, "print")
	}
	if a.JSON != "" {
		if err := writeJSON(rep, a.JSON); err != nil {
			return errors.Wrap(err, "write JSON")
		}
	}
	if a.Plots == "" {
		return nil
	}
	for _, t := range deployments {
		dir := filepath.Join(a.Plots, t.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return errors.Wrap(err, "plots")
		}
		if err := rep.Draw(t.Name, dir); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(rep *comparer.Report, name string) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := rep.WriteJSON(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// selectByName returns the items that are named, in their own order, or all without names.
func selectByName[T any](all []T, names string, name func(T) string) ([]T, error) {
	if names == "" {
		return all, nil
	}
	want := strings.Split(names, ",")
	var out []T
	for _, item := range all {
		if i := slices.Index(want, name(item)); i >= 0 {
			out = append(out, item)
			want = slices.Delete(want, i, i+1)
		}
	}
	if len(want) > 0 {
		return nil, errors.Errorf("unknown: %s", strings.Join(want, ", "))
	}
	return out, nil
}
