package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/standin/generator"
)

type args struct {
	Entries    []string      `arg:"--entries" placeholder:"IP:PORT" help:"callers' addresses of entries"`
	Direct     []string      `arg:"--direct" placeholder:"IP:PORT" help:"engines to call directly with every second request, for comparison"`
	PIDs       []int         `arg:"--pids" placeholder:"PID" help:"entry processes whose processor time is counted"`
	Rate       float64       `arg:"--rate" default:"50" help:"mean arrivals a second"`
	Crest      float64       `arg:"--crest" default:"1" help:"rate at the crest of a swing, in times the mean, up to 4 keeps the mean"`
	Swing      time.Duration `arg:"--swing" default:"5s" help:"time from crest to crest"`
	Duration   time.Duration `arg:"--duration" default:"10s" help:"time over which requests arrive"`
	Model      string        `arg:"--model" default:"base" help:"base model, or with --adapters the prefix of their names"`
	Adapters   int           `arg:"--adapters" help:"number of adapters, named MODEL-1 and so on"`
	Zipf       float64       `arg:"--zipf" default:"1.1" help:"skew of their popularity"`
	Tokens     int           `arg:"--tokens" default:"32" help:"length of short answers"`
	Long       float64       `arg:"--long" help:"share of long requests"`
	LongTokens int           `arg:"--long-tokens" default:"256" help:"length of long answers"`
	Class      string        `arg:"--class" help:"class of short requests"`
	LongClass  string        `arg:"--long-class" help:"class of long requests"`
	Bookings   float64       `arg:"--bookings" help:"share of bookings"`
	Stock      float64       `arg:"--stock" help:"share of stock checks"`
	Service    string        `arg:"--service" default:"orders" help:"plain service of both"`
	Budget     time.Duration `arg:"--budget" default:"2s" help:"time within which a first token is good"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the schedule"`
	JSON       bool          `arg:"--json" help:"print JSON"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "load sends an open schedule of requests and measures what callers see; loopback addresses only."
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// output is the JSON output.
type output struct {
	Report *generator.Report `json:"report"`
	// CPUSeconds is the CPU time of the processes in --pids.
	CPUSeconds         float64 `json:"processor,omitempty"`
	TokensPerCPUSecond float64 `json:"core,omitempty"`
}

func run(ctx context.Context, a args, w io.Writer) error {
	before, err := cpuTime(a.PIDs)
	if err != nil {
		return err
	}
	rep, err := generator.Run(ctx, a.config())
	if err != nil {
		return err
	}
	after, err := cpuTime(a.PIDs)
	if err != nil {
		return err
	}
	out := output{Report: rep, CPUSeconds: (after - before).Seconds()}
	if out.CPUSeconds > 0 {
		out.TokensPerCPUSecond = rep.TokensPerSecond() * rep.Elapsed().Seconds() / out.CPUSeconds
	}
	if a.JSON {
		return json.NewEncoder(w).Encode(out)
	}
	return printTable(w, out)
}

func (a args) config() generator.Config {
	return generator.Config{
		Entries: a.Entries, Direct: a.Direct, Rate: a.Rate, PeakFactor: a.Crest, PeakPeriod: a.Swing, Duration: a.Duration,
		Model: a.Model, Adapters: a.Adapters, Zipf: a.Zipf, Tokens: a.Tokens, LongShare: a.Long, LongTokens: a.LongTokens,
		Class: a.Class, LongClass: a.LongClass, BookingShare: a.Bookings, StockShare: a.Stock, Service: a.Service,
		FirstTokenBudget: a.Budget, Seed: a.Seed,
	}
}

// Percentiles in the table.
const (
	p50 = 50
	p95 = 95
	p99 = 99
)

func printTable(w io.Writer, out output) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rep := out.Report
	_, _ = fmt.Fprintln(t, "KIND\tCOUNT\tGOOD\tSTALLS\tTOKENS\tFIRST p50\tp95\tp99\tGAP p95\tp99\tTOTAL p50\tp99\tOUTCOMES")
	for _, r := range rep.Rows() {
		_, _ = fmt.Fprintf(
			t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Name(), r.Count(), r.GoodCount(), r.Stalls(), r.Tokens(), r.FirstToken(p50), r.FirstToken(p95), r.FirstToken(p99),
			r.TokenGap(p95), r.TokenGap(p99), r.Total(p50), r.Total(p99), formatOutcomes(r.Outcomes()),
		)
	}
	_, _ = fmt.Fprintf(t, "\n%.0f tokens a second through the system in %.1f s\n", rep.TokensPerSecond(), rep.Elapsed().Seconds())
	if c, ok := rep.Compare(); ok {
		_, _ = fmt.Fprintf(
			t, "first token against direct: p50 %.2f times (%+d us), p99 %.2f times (%+d us)\n",
			c.First50, c.Added50, c.First99, c.Added99,
		)
	}
	if out.TokensPerCPUSecond > 0 {
		_, _ = fmt.Fprintf(t, "%.2f s of processor time, %.0f streamed tokens a second for each core\n", out.CPUSeconds, out.TokensPerCPUSecond)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

func formatOutcomes(m map[string]int) string {
	var list []string
	for name, n := range m {
		list = append(list, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}
