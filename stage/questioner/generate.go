package questioner

import (
	"crypto/rand"
	"encoding/json"
	"net"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/checker"
	"redwingstage.org/stage/loader"
)

// TCP ports of the processes on every instance.
const (
	callersPort        = 8080
	entryPeersPort     = 7100
	entryMetricsPort   = 9100
	controlPeersPort   = 7000
	operatorsPort      = 7070
	controlMetricsPort = 9101
)

// Names of the generated files that are not settings of a process.
const (
	DocFile       = "configuration.json"
	OperatorsFile = "operators.txt"
	TokensFile    = "tokens.json"
	TokenFile     = "operator.token"
)

// File is a generated file.
type File struct {
	name       string
	content    []byte
	isSettings bool
	isSecret   bool
}

// Name returns the file's name.
func (f File) Name() string { return f.name }

// Content returns the file's content.
func (f File) Content() []byte { return f.content }

// IsSettings reports whether the file is a process's settings.
func (f File) IsSettings() bool { return f.isSettings }

// IsSecret reports whether only the operator may read the file.
func (f File) IsSecret() bool { return f.isSecret }

// Generated settings, in the format of package loader.
type entrySettings struct {
	Role     string   `json:"role"`
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Zones    []string `json:"zones"`
	Callers  string   `json:"callers"`
	Peers    string   `json:"peers"`
	Metrics  string   `json:"metrics"`
	Controls []string `json:"controls"`
}

type controlSettings struct {
	Role      string      `json:"role"`
	Name      string      `json:"name"`
	ID        int         `json:"id"`
	Cluster   string      `json:"cluster"`
	Zone      string      `json:"zone"`
	Zones     []string    `json:"zones"`
	Folder    string      `json:"folder"`
	Peers     string      `json:"peers"`
	Operators string      `json:"operators"`
	Metrics   string      `json:"metrics"`
	Members   []member    `json:"members"`
	Tokens    string      `json:"tokens"`
	Store     storeLimits `json:"store"`
}

type member struct {
	ID   int    `json:"id"`
	Addr string `json:"addr"`
}

type tokens struct {
	Tokens []token `json:"tokens"`
}

type token struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// Generate returns the settings of every process, a first configuration and a token for one operator.
func Generate(a *Answers, operator string) ([]File, error) {
	hosts := a.controlHosts()
	var files []File
	for _, inst := range a.instances {
		f, err := newFile("entry-"+inst.Name+".json", a.entrySettings(inst, hosts))
		if err != nil {
			return nil, err
		}
		f.isSettings = true
		files = append(files, f)
	}
	for i := range hosts {
		f, err := newFile("control-"+hosts[i].Name+".json", a.controlSettings(i, hosts))
		if err != nil {
			return nil, err
		}
		f.isSettings = true
		files = append(files, f)
	}
	if err := checkSettings(files); err != nil {
		return nil, errors.Wrap(err, "check generated settings")
	}
	doc, err := newFile(DocFile, a.initialDoc())
	if err != nil {
		return nil, err
	}
	secret := rand.Text()
	tokenList, err := newFile(TokensFile, tokens{Tokens: []token{{Name: operator, Token: secret}}})
	if err != nil {
		return nil, err
	}
	tokenList.isSecret = true
	var addrs []byte
	for _, h := range hosts {
		addrs = append(addrs, addrPort(h, operatorsPort)+"\n"...)
	}
	return append(
		files, doc, File{name: OperatorsFile, content: addrs},
		tokenList, File{name: TokenFile, content: []byte(secret + "\n"), isSecret: true},
	), nil
}

// checkSettings parses the settings as the processes do.
func checkSettings(files []File) error {
	var findings []checker.Finding
	for _, f := range files {
		_, found := loader.Parse(f.name, f.content)
		findings = append(findings, found...)
	}
	return checker.NewError(findings)
}

func newFile(name string, v any) (File, error) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return File{}, errors.Wrapf(err, "encode %s", name)
	}
	return File{name: name, content: append(b, '\n')}, nil
}

func addrPort(inst instance, port int) string {
	return net.JoinHostPort(inst.IP, strconv.Itoa(port))
}

// controlHosts picks instances for control replicas, round-robin over data centres.
func (a *Answers) controlHosts() []instance {
	byZone := make(map[string][]instance)
	for _, inst := range a.instances {
		if inst.HasDisk {
			byZone[inst.Zone] = append(byZone[inst.Zone], inst)
		}
	}
	var hosts []instance
	for round := 0; len(hosts) < a.numControls; round++ {
		found := false
		for _, zone := range a.zones {
			if round < len(byZone[zone]) && len(hosts) < a.numControls {
				hosts = append(hosts, byZone[zone][round])
				found = true
			}
		}
		if !found {
			break
		}
	}
	return hosts
}

func (a *Answers) entrySettings(inst instance, hosts []instance) entrySettings {
	s := entrySettings{
		Role: string(loader.RoleEntry), Name: "entry-" + inst.Name, Zone: inst.Zone, Zones: a.zones,
		Callers: addrPort(inst, callersPort), Peers: addrPort(inst, entryPeersPort), Metrics: addrPort(inst, entryMetricsPort),
	}
	for _, h := range hosts {
		s.Controls = append(s.Controls, addrPort(h, controlPeersPort))
	}
	return s
}

func (a *Answers) controlSettings(i int, hosts []instance) controlSettings {
	inst := hosts[i]
	name := "control-" + inst.Name
	s := controlSettings{
		Role: string(loader.RoleControl), Name: name, ID: i + 1, Cluster: a.team, Zone: inst.Zone, Zones: a.zones,
		Folder: filepath.ToSlash(filepath.Join("data", name)), Peers: addrPort(inst, controlPeersPort),
		Operators: addrPort(inst, operatorsPort), Metrics: addrPort(inst, controlMetricsPort), Tokens: TokensFile, Store: a.storeLimits,
	}
	for k, h := range hosts {
		s.Members = append(s.Members, member{ID: k + 1, Addr: addrPort(h, controlPeersPort)})
	}
	return s
}

func (a *Answers) initialDoc() configurer.Doc {
	base := configurer.ServiceSpec{Name: a.model.Name, Kind: configurer.KindModel, Classes: a.model.Classes}
	return configurer.Doc{
		Classes:  a.classes,
		Services: append([]configurer.ServiceSpec{base}, slices.Clone(a.services)...),
	}
}
