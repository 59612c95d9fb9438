package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
	"redwingstage.org/stage/loader"
	"redwingstage.org/stage/questioner"
)

// Modes of generated files and folders.
const (
	folderMode = 0o755
	fileMode   = 0o644
	secretMode = 0o600
)

func (c *command) init() error {
	name, b, err := c.readAnswers()
	if err != nil {
		return err
	}
	a, findings := questioner.Parse(name, b)
	if err := checker.NewError(findings); err != nil {
		return err
	}
	files, err := questioner.Generate(a, c.Init.Operator)
	if err != nil {
		return err
	}
	if err := c.writeFiles(files, b); err != nil {
		return err
	}
	var names []string
	for _, f := range files {
		names = append(names, filepath.Join(c.Init.Folder, f.Name()))
	}
	if c.JSON {
		return c.printJSON(initResult{Files: names})
	}
	return c.printf("%s\n", strings.Join(names, "\n"))
}

type initResult struct {
	Files []string `json:"files"`
}

// readAnswers reads a file of answers or prompts for them.
func (c *command) readAnswers() (string, []byte, error) {
	if c.Init.Answers == "" {
		b, err := questioner.Ask(c.In, c.Err)
		return "answers", b, err
	}
	b, err := os.ReadFile(c.Init.Answers)
	if err != nil {
		return "", nil, errors.Wrap(err, "read answers")
	}
	return c.Init.Answers, b, nil
}

// answersFile stores the answers next to the generated files.
const answersFile = "answers.json"

// writeFiles writes all files or, without --force, none if one exists.
func (c *command) writeFiles(files []questioner.File, answers []byte) error {
	folder := c.Init.Folder
	if !c.Init.Force {
		var findings []checker.Finding
		for _, f := range files {
			path := filepath.Join(folder, f.Name())
			if _, err := os.Lstat(path); err == nil {
				findings = append(findings, checker.NewFinding(path, "", "exists; --force replaces it"))
			}
		}
		if err := checker.NewError(findings); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "make folder")
	}
	for _, f := range files {
		mode := os.FileMode(fileMode)
		if f.IsSecret() {
			mode = secretMode
		}
		if err := os.WriteFile(filepath.Join(folder, f.Name()), f.Content(), mode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	if err := os.WriteFile(filepath.Join(folder, answersFile), answers, fileMode); err != nil {
		return errors.Wrap(err, "write answers")
	}
	return nil
}

// check detects each file's type by its fields and checks it; settings are also checked together.
func (c *command) check() error {
	var settings []string
	var findings []checker.Finding
	for _, path := range c.Check.Files {
		b, err := os.ReadFile(path)
		if err != nil {
			findings = append(findings, checker.NewFinding(path, "", err.Error()))
			continue
		}
		n := checker.Parse(path, b)
		switch {
		case n.IsUnreadable():
			findings = append(findings, n.Findings()...)
		case n.Has("team") || n.Has("instances"):
			_, fileFindings := questioner.Parse(path, b)
			findings = append(findings, fileFindings...)
		case n.Has("classes") || n.Has("services") || n.Has("adapters"):
			_, fileFindings := parseDoc(path, b)
			findings = append(findings, fileFindings...)
		case n.Has("tokens") && !n.Has("role"):
			_, fileFindings := loader.ParseTokens(path, b)
			findings = append(findings, fileFindings...)
		default:
			settings = append(settings, path)
		}
	}
	_, err := loader.Check(settings)
	var findingsErr *checker.FindingsError
	if errors.As(err, &findingsErr) {
		findings = append(findings, findingsErr.Findings()...)
	}
	if err := checker.NewError(findings); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(checkResult{Files: len(c.Check.Files)})
	}
	return c.printf("no findings in %d files\n", len(c.Check.Files))
}

type checkResult struct {
	Files int `json:"files"`
}

type buildInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c *command) version() error {
	v := buildInfo{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v = buildInfo{Version: info.Main.Version, Go: info.GoVersion}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Version += " " + s.Value
			}
		}
	}
	if c.JSON {
		return c.printJSON(v)
	}
	return c.printf("%s %s (%s)\n", programName, v.Version, v.Go)
}

// completion prints a shell script that completes the commands and flags of args.
func (c *command) completion() error {
	if c.Completion.Shell != "bash" {
		return &usageError{fmt.Sprintf("completion: %q is not supported; bash is", c.Completion.Shell)}
	}
	commands, flags := completionWords(reflect.TypeOf(args{}))
	return c.printf(`_redwingstage() {
  local cur=${COMP_WORDS[COMP_CWORD]}
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "$cur"))
  elif [[ $cur == -* ]]; then
    COMPREPLY=($(compgen -W "%s" -- "$cur"))
  else
    COMPREPLY=($(compgen -f -- "$cur"))
  fi
}
complete -F _redwingstage redwingstage
`, strings.Join(commands, " "), strings.Join(flags, " "))
}

// completionWords returns the subcommands and flags in the arg tags of a struct type.
func completionWords(t reflect.Type) (commands, flags []string) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("arg")
		first, _, _ := strings.Cut(tag, ",")
		if name, ok := strings.CutPrefix(first, "subcommand:"); ok {
			commands = append(commands, name)
		}
		if strings.HasPrefix(first, "--") {
			flags = append(flags, first)
		}
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			_, more := completionWords(inner)
			flags = append(flags, more...)
		}
	}
	slices.Sort(flags)
	return commands, slices.Compact(flags)
}
