package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases that a script may name.
var cases = map[string]func(l *lab) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand CASE FOLDER")
		os.Exit(cannot)
	}
	l, err := newLab(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(cannot)
	}
	result := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](l)
		if err != nil {
			l.note("the case couldn't run: %v", err)
			code = cannot
		}
		result <- code
	}()
	code := cannot
	select {
	case code = <-result:
	case <-time.After(110 * time.Second):
		l.note("the case took too long")
	}
	l.note("%s", map[int]string{held: "held", broken: "broken", cannot: "couldn't run"}[code])
	if os.Getenv("KEEP_LOGS") != "" {
		keep(l, os.Getenv("KEEP_LOGS"))
	}
	l.close()
	os.Exit(code)
}

// keep copies the processes' logs into a folder.
func keep(l *lab, folder string) {
	for _, p := range l.procs {
		if data, err := os.ReadFile(p.logs); err == nil {
			_ = os.WriteFile(filepath.Join(folder, p.name+".log"), data, 0o600)
		}
	}
}
