package operator

import (
	"time"
)

// args is the command line.
type args struct {
	Init       *initArgs       `arg:"subcommand:init" help:"make settings of every process from answers to a questionnaire"`
	Check      *checkArgs      `arg:"subcommand:check" help:"check settings, answers and configurations and report all findings"`
	Apply      *applyArgs      `arg:"subcommand:apply" help:"change the configuration"`
	Get        *getArgs        `arg:"subcommand:get" help:"show classes, services, adapters or drains"`
	Status     *statusArgs     `arg:"subcommand:status" help:"show replicas, entries and backend servers"`
	Explain    *explainArgs    `arg:"subcommand:explain" help:"tell where a request would go now, without sending it"`
	Audit      *auditArgs      `arg:"subcommand:audit" help:"show the trail of changes"`
	Drain      *drainArgs      `arg:"subcommand:drain" help:"take work away from a backend server or an entry"`
	Replica    *replicaArgs    `arg:"subcommand:replica" help:"add or remove a control replica"`
	Version    *versionArgs    `arg:"subcommand:version" help:"show the version of this program"`
	Completion *completionArgs `arg:"subcommand:completion" help:"print the completion script for a shell"`

	Addrs     []string `arg:"--addrs,env:REDWINGSTAGE_ADDRS" placeholder:"IP:PORT" help:"operators' addresses of the control replicas"`
	AddrsFile string   `arg:"--operators,env:REDWINGSTAGE_OPERATORS" placeholder:"FILE" help:"file with these addresses, one a line"`
	Token     string   `arg:"--token,env:REDWINGSTAGE_TOKEN" placeholder:"FILE" help:"file with the operator's token"`
	CA        string   `arg:"--ca,env:REDWINGSTAGE_CA" placeholder:"FILE" help:"calls go by TLS to replicas whose certificate is signed by an authority in this file"`
	JSON      bool     `arg:"--json" help:"print JSON"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "redwingstage is the operators' command line of the serving layer."
}

// Epilogue implements arg.Epilogued.
func (args) Epilogue() string {
	return `Exit codes: 0 done; 1 refused, nothing changed; 2 wrong command line; 3 no control replica or
entry reachable, nothing changed; 4 uncertain, send it again with the same --change; 5 accepted, but not in force in time.`
}

type initArgs struct {
	Folder   string `arg:"positional,required" help:"folder for the generated files"`
	Answers  string `arg:"--answers" placeholder:"FILE" help:"answers as a JSON file, instead of questions"`
	Operator string `arg:"--operator" default:"operator" placeholder:"NAME" help:"operator whose token is made"`
	Force    bool   `arg:"--force" help:"replace files that exist"`
}

type checkArgs struct {
	Files []string `arg:"positional,required" help:"settings, answers or configurations"`
}

// changeFlags are the flags of commands that change something.
type changeFlags struct {
	Change  string        `arg:"--change" placeholder:"ID" help:"id of the change; give it again to send a change again"`
	Wait    bool          `arg:"--wait" help:"return once the change is in force"`
	Timeout time.Duration `arg:"--timeout" default:"18s" help:"longest wait, up to 60s"`
}

type applyArgs struct {
	File   string   `arg:"positional" help:"configuration to put, - for the standard input"`
	Delete []string `arg:"--delete,separate" placeholder:"KIND/NAME" help:"object to delete"`
	Expect *uint64  `arg:"--expect" placeholder:"REVISION" help:"revision that the change builds on; the current one unless given"`
	Check  bool     `arg:"--check" help:"report the findings and change nothing"`
	changeFlags
}

type getArgs struct {
	Kind  string `arg:"positional,required" help:"classes, services, adapters or drains"`
	Name  string `arg:"positional" help:"only this object"`
	Limit int    `arg:"--limit" default:"100" help:"longest list of adapters, 0 for all"`
	After string `arg:"--after" placeholder:"NAME" help:"list the adapters after this one"`
}

type statusArgs struct{}

type auditArgs struct {
	After    uint64 `arg:"--after" placeholder:"SEQ" help:"show records after this one"`
	Limit    int    `arg:"--limit" default:"100" help:"longest list, up to 1000"`
	Operator string `arg:"--operator" placeholder:"NAME" help:"changes of this operator"`
	Kind     string `arg:"--kind" help:"changes of this kind of object"`
	Name     string `arg:"--name" help:"changes of the object with this name"`
	Since    string `arg:"--since" placeholder:"TIME" help:"changes from this time on, as 2026-03-02T09:00:00Z"`
	Until    string `arg:"--until" placeholder:"TIME" help:"changes before this time"`
	Export   bool   `arg:"--export" help:"print all records that match, one JSON object a line"`
}

type drainArgs struct {
	Kind string `arg:"positional,required" help:"server or entry"`
	Name string `arg:"positional,required"`
	Undo bool   `arg:"--undo" help:"give it work again"`
	changeFlags
}

type replicaArgs struct {
	Add    *replicaAddArgs    `arg:"subcommand:add" help:"add a replica, which catches up first"`
	Remove *replicaRemoveArgs `arg:"subcommand:remove" help:"remove a replica"`
}

type replicaAddArgs struct {
	ID   uint64 `arg:"positional,required" help:"number that no replica had before"`
	Addr string `arg:"positional,required" help:"the replica's address for other processes"`
	changeFlags
}

type replicaRemoveArgs struct {
	ID uint64 `arg:"positional,required"`
	changeFlags
}

type versionArgs struct{}

type completionArgs struct {
	Shell string `arg:"positional,required" help:"bash"`
}
