package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTick is the unit of CPU time in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Indices of the user and system time in /proc/PID/stat, counted from the field after the process name.
const (
	userTimeIndex   = 11
	systemTimeIndex = 12
)

// cpuTime returns the total CPU time that the processes have used so far.
func cpuTime(pids []int) (time.Duration, error) {
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
	if len(fields) <= systemTimeIndex {
		return 0, errors.New("too few fields in stat")
	}
	var sum time.Duration
	for _, i := range []int{userTimeIndex, systemTimeIndex} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse field of stat")
		}
		sum += time.Duration(n) * clockTick
	}
	return sum, nil
}
