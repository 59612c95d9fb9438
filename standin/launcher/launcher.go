package launcher

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// logPerm is the permissions of the processes' log files.
const logPerm = 0o644

// Spec is the command of a process; its output is appended to the file Name.log.
type Spec struct {
	Name string
	Path string
	Args []string
	// Env are variables beside those of this process, as NAME=VALUE.
	Env []string
}

// Launcher starts processes and controls only those that it started.
type Launcher struct {
	dir string

	mu    sync.Mutex
	procs map[string]*proc
}

type proc struct {
	spec   Spec
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// New returns a launcher that writes the processes' output into dir.
func New(dir string) *Launcher {
	return &Launcher{dir: dir, procs: make(map[string]*proc)}
}

// Start starts a process; it fails if one of the same name is running.
func (l *Launcher) Start(spec Spec) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.procs[spec.Name]; p != nil && !p.hasExited() {
		return errors.Errorf("process %q runs already", spec.Name)
	}
	log, err := os.OpenFile(filepath.Join(l.dir, spec.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logPerm)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.CommandContext(context.Background(), spec.Path, spec.Args...)
	cmd.Env = append(os.Environ(), spec.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when this one dies, so that a crashed test leaves no processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(errors.Wrapf(err, "start %q", spec.Name), log.Close())
	}
	p := &proc{spec: spec, cmd: cmd, log: log, exited: make(chan struct{})}
	l.procs[spec.Name] = p
	go p.wait()
	return nil
}

func (p *proc) wait() {
	defer close(p.exited)
	p.err = errors.Join(p.cmd.Wait(), p.log.Close())
}

func (p *proc) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (l *Launcher) find(name string) (*proc, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.procs[name]
	if p == nil {
		return nil, errors.Errorf("no process %q was started", name)
	}
	return p, nil
}

// Signal sends a signal to a process; it does nothing if the process has ended.
func (l *Launcher) Signal(name string, sig syscall.Signal) error {
	p, err := l.find(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "signal %q", name)
	}
	return nil
}

// Suspend suspends a process with SIGSTOP, which the process can't catch; Resume resumes it.
func (l *Launcher) Suspend(name string) error { return l.Signal(name, syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (l *Launcher) Resume(name string) error { return l.Signal(name, syscall.SIGCONT) }

// Kill sends SIGKILL to a process and waits for its end.
func (l *Launcher) Kill(name string) error { return l.signalAndWait(name, syscall.SIGKILL) }

// Stop sends SIGTERM to a process and waits for its end; the error is that of its exit.
func (l *Launcher) Stop(name string) error {
	if err := l.signalAndWait(name, syscall.SIGTERM); err != nil {
		return err
	}
	p, err := l.find(name)
	if err != nil {
		return err
	}
	return p.err
}

func (l *Launcher) signalAndWait(name string, sig syscall.Signal) error {
	p, err := l.find(name)
	if err != nil {
		return err
	}
	if err := l.Signal(name, sig); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Exited returns a channel that is closed when the process ends.
func (l *Launcher) Exited(name string) (<-chan struct{}, error) {
	p, err := l.find(name)
	if err != nil {
		return nil, err
	}
	return p.exited, nil
}

// Restart kills a process and starts it again with the same Spec.
func (l *Launcher) Restart(name string) error {
	p, err := l.find(name)
	if err != nil {
		return err
	}
	if err := l.Kill(name); err != nil {
		return err
	}
	return l.Start(p.spec)
}

// PID returns the process's id.
func (l *Launcher) PID(name string) (int, error) {
	p, err := l.find(name)
	if err != nil {
		return 0, err
	}
	return p.cmd.Process.Pid, nil
}

// Close kills all running processes and waits for them.
func (l *Launcher) Close() error {
	l.mu.Lock()
	var names []string
	for name := range l.procs {
		names = append(names, name)
	}
	l.mu.Unlock()
	var errs []error
	for _, name := range names {
		errs = append(errs, l.Kill(name))
	}
	return errors.Join(errs...)
}
