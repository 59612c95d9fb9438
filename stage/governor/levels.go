package governor

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"redwingstage.org/coord/runner"
)

// commandLevel is the level of this build. A build knows the commands and snapshots of all levels up to its own. A new kind of command, a
// new field of one or of the state, or another meaning of an old one gets the next level.
//
// Level 0 is what builds know that tell none, level 1 adds command.Level.
const commandLevel = 1

// level returns the level from which builds know the command.
func (cmd *command) level() uint64 {
	if cmd.Level > 0 {
		return 1
	}
	return 0
}

// build is what a replica knows of commands.
type build struct {
	// level is the highest level that it knows.
	level uint64
	// levelOf returns the level of a command.
	levelOf func(cmd *command) uint64
}

func thisBuild() build { return build{level: commandLevel, levelOf: (*command).level} }

// heldBackError reports a command that isn't proposed since the group's level is too low.
type heldBackError struct {
	needed, level uint64
}

// Error implements error.
func (e *heldBackError) Error() string {
	return fmt.Sprintf("the command is of level %d and is held back, the group has level %d", e.needed, e.level)
}

// laterLevelError reports a level that this build doesn't know.
type laterLevelError struct {
	level, known uint64
}

// Error implements error.
func (e *laterLevelError) Error() string {
	return fmt.Sprintf("the group has level %d, this build knows %d", e.level, e.known)
}

// leveler raises the group's level for a leader. The control goroutine owns it.
type leveler struct {
	// raising is the level that is proposed, or 0.
	raising  uint64
	warnedAt time.Time
}

// raiseLevel proposes the level that a command needs which was held back, once all members have told that they know it.
func (h *hub) raiseLevel(now time.Time) {
	needed := h.membership.neededLevel.Load()
	r := h.membership.log()
	if r == nil || h.levels.raising > 0 || needed <= h.membership.state().Level {
		return
	}
	if lacking := h.lackingLevel(r.Status().Members, needed); len(lacking) > 0 {
		if now.Sub(h.levels.warnedAt) >= leaderlessEvery {
			h.levels.warnedAt = now
			h.log.Warn(fmt.Sprintf("commands of level %d wait for replicas of earlier builds", needed), strings.Join(lacking, " "))
		}
		return
	}
	if !h.joiner.isIdle() {
		// A replica that is about to be a member may be of an earlier build.
		return
	}
	h.levels.raising = needed
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		_, err := h.membership.propose(ctx, command{Level: needed})
		h.post(func(time.Time) {
			h.levels.raising = 0
			if err != nil {
				h.log.Error("raise the group's level", err)
				return
			}
			h.log.Info("the group's level is raised", fmt.Sprint(needed))
		})
	})
}

// lackingLevel returns the members that haven't told this leader, in their present sessions, that they know a level.
func (h *hub) lackingLevel(members []runner.Member, level uint64) []string {
	known := make(map[uint64]bool)
	if r := h.membership.log(); r != nil && level <= h.membership.build.level {
		known[r.Status().ID] = true
	}
	for s := range h.relaySessions {
		if s.isRelay() && s.hello.Level >= level {
			known[s.hello.Replica] = true
		}
	}
	var out []string
	for _, m := range members {
		if !known[m.ID] {
			out = append(out, fmt.Sprint(m.ID))
		}
	}
	slices.Sort(out)
	return out
}

// leastLevel returns the level that a replica must know to be added.
func (h *hub) leastLevel() uint64 { return max(h.membership.state().Level, h.levels.raising) }
