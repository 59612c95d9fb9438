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

// Slope is the measured marginal cost of one more unit of load, such as an entry or a booking.
type Slope struct {
	// Per names the unit of load, such as "idle entry".
	Per string `json:"of"`
	// Cost names the resource, and Unit is the unit of Value.
	Cost  string  `json:"cost"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Config sets the sizes and times of a survey.
type Config struct {
	// Folder is where the control replicas' data folders are created.
	Folder string
	// Window is how long each rate is measured.
	Window time.Duration
	// Entries, Servers and Adapters are the larger of the two sizes from which a slope is computed.
	Entries  int
	Servers  int
	Adapters int
	// Calls is the number of changes, of permits and of bookings.
	Calls int
}

// Survey measures all slopes in turn; on an error it also returns those measured so far.
func Survey(ctx context.Context, cfg Config) ([]Slope, error) {
	var slopes []Slope
	steps := []func(context.Context, Config) ([]Slope, error){
		surveyAdapters, surveyEntries, surveyServers, surveyOwnedEngine, surveyCalls,
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
		rows += fmt.Sprintf("%s\t%s\t%.4g\t%s\n", s.Per, s.Cost, s.Value, s.Unit)
	}
	if _, err := io.WriteString(tw, rows); err != nil {
		return errors.Wrap(err, "print slopes")
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "print slopes")
	}
	return nil
}

// usage is a sample of processor time and relayed bytes since the start, and of live heap and data folder in bytes.
type usage struct {
	at         time.Time
	cpu        time.Duration
	heap       uint64
	toLeader   int64
	fromLeader int64
	folder     int64
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns this process's user and system time.
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
