package governor

import (
	"strconv"
	"time"

	"redwingstage.org/serving/profiler"
)

const (
	// slowSpeed is the speed, in percent of the service's median, from which down a server is logged, slowLogEvery the
	// shortest time between two such lines.
	slowSpeed    = 50
	slowLogEvery = time.Second
)

// recordSpeeds adds what a relay's entries saw of servers' streams.
func (l *leaderState) recordSpeeds(now time.Time, list []SpeedSample) {
	for _, v := range list {
		l.speeds.Record(now, profiler.Sample(v))
	}
}

// adoptSpeeds takes over the speeds that an earlier leader sent.
func (l *leaderState) adoptSpeeds(list []Speed) {
	speeds := make([]profiler.Speed, 0, len(list))
	for _, v := range list {
		speeds = append(speeds, profiler.Speed(v))
		l.alloc.SetSpeed(v.Server, float64(v.Step)/profiler.Usual)
	}
	l.speeds.Adopt(speeds)
}

// takeSpeeds returns the speeds that changed since the last call and are due; placement weighs by them.
func (l *leaderState) takeSpeeds(now time.Time) []Speed {
	var out []Speed
	for _, v := range l.speeds.TakeChanged(now) {
		out = append(out, Speed(v))
		l.alloc.SetSpeed(v.Server, float64(v.Step)/profiler.Usual)
	}
	return out
}

// broadcastSpeeds broadcasts the speeds that changed, and shows them in metrics and in the log.
func (h *hub) broadcastSpeeds(now time.Time) {
	list := h.leader.takeSpeeds(now)
	if len(list) == 0 {
		return
	}
	h.broadcast(DownMessage{Speeds: list})
	for _, v := range list {
		h.metrics.setSpeed(v)
		if v.Step <= slowSpeed && now.Sub(h.slowLoggedAt) >= slowLogEvery {
			h.slowLoggedAt = now
			h.log.Info("server is slow, its speed in percent of its service's median is "+strconv.Itoa(v.Step), v.Server)
		}
	}
}
