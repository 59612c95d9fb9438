package operator

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/certifier"
)

// Env is the environment of a command.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Sleep waits between attempts; nil means time.Sleep.
	Sleep func(time.Duration)
	// NewChangeID returns a new change id; nil means random ids.
	NewChangeID func() string
}

// programName is shown in help and errors.
const programName = "redwingstage"

// Run runs one command line, without the program's name, and returns its exit code.
func Run(env Env, argv []string) Code {
	if env.Sleep == nil {
		env.Sleep = time.Sleep
	}
	if env.NewChangeID == nil {
		env.NewChangeID = func() string { return "c-" + strings.ToLower(rand.Text()) }
	}
	var a args
	p, err := arg.NewParser(arg.Config{Program: programName, Exit: func(int) {}, Out: env.Err}, &a)
	if err != nil {
		printError(env.Err, err)
		return Usage
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		return printHelp(p, env.Out)
	case err != nil:
		printError(env.Err, err)
		return Usage
	case p.Subcommand() == nil:
		p.WriteUsage(env.Err)
		return Usage
	}
	c := &command{Env: env, args: a}
	return c.reportError(c.run())
}

// printError prints an error; a failed write can't be reported.
func printError(w io.Writer, err error) {
	_, _ = fmt.Fprintln(w, programName+":", err)
}

func printHelp(p *arg.Parser, w io.Writer) Code {
	if err := p.WriteHelpForSubcommand(w, p.SubcommandNames()...); err != nil {
		return Usage
	}
	return OK
}

// command is one run of a command line.
type command struct {
	Env
	args
	client *client
}

func (c *command) run() error {
	switch {
	case c.Init != nil:
		return c.init()
	case c.Check != nil:
		return c.check()
	case c.Version != nil:
		return c.version()
	case c.Completion != nil:
		return c.completion()
	case c.Explain != nil:
		return c.explain()
	}
	if err := c.initClient(); err != nil {
		return err
	}
	defer c.client.close()
	switch {
	case c.Apply != nil:
		return c.apply()
	case c.Get != nil:
		return c.get()
	case c.Status != nil:
		return c.status()
	case c.Audit != nil:
		return c.audit()
	case c.Drain != nil:
		return c.drain()
	case c.Replica.Add != nil:
		return c.addReplica()
	case c.Replica.Remove != nil:
		return c.removeReplica()
	}
	return &usageError{"replica: add or remove is missing"}
}

// reportError prints an error and returns the exit code.
func (c *command) reportError(err error) Code {
	if err == nil {
		return OK
	}
	if c.JSON {
		if encoded := c.printJSON(errorJSON(err)); encoded != nil {
			printError(c.Err, encoded)
		}
	} else {
		printError(c.Err, err)
	}
	return codeOf(err)
}

// initClient reads the addresses, token and CA file.
func (c *command) initClient() error {
	addrs := c.Addrs
	if len(addrs) == 0 && c.AddrsFile != "" {
		b, err := os.ReadFile(c.AddrsFile)
		if err != nil {
			return &usageError{"--operators: " + err.Error()}
		}
		addrs = strings.Fields(string(b))
	}
	if len(addrs) == 0 {
		return &usageError{"--addrs or --operators is missing"}
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return &usageError{fmt.Sprintf("%q is no address of the form ip:port", a)}
		}
	}
	if c.Token == "" {
		return &usageError{"--token is missing"}
	}
	b, err := os.ReadFile(c.Token)
	if err != nil {
		return &usageError{"--token: " + err.Error()}
	}
	token := strings.TrimSpace(string(b))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return &usageError{"--token: " + c.Token + " holds no token"}
	}
	var tlsCfg *tls.Config
	if c.CA != "" {
		if tlsCfg, err = certifier.ClientConfig(c.CA); err != nil {
			return &usageError{"--ca: " + err.Error()}
		}
	}
	c.client = newClient(addrs, token, tlsCfg, c.Sleep)
	return nil
}

func (c *command) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	if _, err := fmt.Fprintf(c.Out, "%s\n", b); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

func (c *command) printf(format string, a ...any) error {
	if _, err := fmt.Fprintf(c.Out, format, a...); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

// printResponse decodes a response into v and prints it as JSON or with table.
func (c *command) printResponse(b []byte, v any, table func() error) error {
	if err := json.Unmarshal(b, v); err != nil {
		return errors.Wrap(err, "read the control replica's answer")
	}
	if c.JSON {
		return c.printJSON(json.RawMessage(b))
	}
	return table()
}
