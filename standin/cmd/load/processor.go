package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// tick is the unit of CPU time in /proc on Linux.
const tick = 10 * time.Millisecond

// Indices of the user and system time in /proc/PID/stat, counted from the field after the process name.
const (
	userField   = 11
	systemField = 12
)

// processorTime returns the total CPU time that the processes have used so far.
func processorTime(pids []int) (time.Duration, error) {
	var sum time.Duration
	for _, pid := range pids {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, errors.Wrapf(err, "processor time of process %d", pid)
		}
		d, err := parseStat(string(b))
		if err != nil {
			return 0, errors.Wrapf(err, "processor time of process %d", pid)
		}
		sum += d
	}
	return sum, nil
}

func parseStat(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemField {
		return 0, errors.New("too few fields in stat")
	}
	var sum time.Duration
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse field of stat")
		}
		sum += time.Duration(n) * tick
	}
	return sum, nil
}
