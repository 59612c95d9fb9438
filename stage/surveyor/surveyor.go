package surveyor

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// Slope is one measured cost for one more of something.
type Slope struct {
	// Of names what there is one more of, such as "entry".
	Of string `json:"of"`
	// Cost names what it costs, and Unit its unit.
	Cost  string  `json:"cost"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Config sizes a survey.
type Config struct {
	// Folder takes the data of the control replica.
	Folder string
	// Window is how long each rate is watched.
	Window time.Duration
	// Entries, Servers and Adapters are the larger of the two sizes that a slope is drawn through.
	Entries  int
	Servers  int
	Adapters int
	// Calls is the number of changes, permits and bookings.
	Calls int
}

// Survey measures all slopes, one after the other.
func Survey(ctx context.Context, cfg Config) ([]Slope, error) {
	var slopes []Slope
	steps := []func(context.Context, Config) ([]Slope, error){
		surveyAdapters, surveyEntries, surveyServers, surveyContact, surveyCalls,
	}
	for _, step := range steps {
		s, err := step(ctx, cfg)
		if err != nil {
			return slopes, err
		}
		slopes = append(slopes, s...)
	}
	return slopes, nil
}

// Print writes the slopes as a table.
func Print(w io.Writer, slopes []Slope) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := "one more\tcosts\tvalue\tunit\n"
	for _, s := range slopes {
		rows += fmt.Sprintf("%s\t%s\t%.4g\t%s\n", s.Of, s.Cost, s.Value, s.Unit)
	}
	if _, err := io.WriteString(tw, rows); err != nil {
		return errors.Wrap(err, "print slopes")
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "print slopes")
	}
	return nil
}

// usage is what the process has spent so far.
type usage struct {
	at     time.Time
	cpu    time.Duration
	heap   uint64
	up     int64
	down   int64
	folder int64
}

// heapBytes returns the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the processor time of this process.
func cpuTime() (time.Duration, error) {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
