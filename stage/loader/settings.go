package loader

import "time"

// Role is a process's kind.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings are the settings of one process, an entry or a control replica.
type Settings struct {
	file    string
	role    Role
	name    string
	zone    string
	zones   []string
	peers   string
	metrics string
	entry   EntrySettings
	control ControlSettings
}

// File returns the path of the settings file.
func (s *Settings) File() string { return s.file }

// Role returns the process's role.
func (s *Settings) Role() Role { return s.role }

// Name returns the process's name.
func (s *Settings) Name() string { return s.name }

// Zone returns the process's data centre.
func (s *Settings) Zone() string { return s.zone }

// Zones returns all data centres of the deployment.
func (s *Settings) Zones() []string { return s.zones }

// PeersAddr returns the address for the other processes.
func (s *Settings) PeersAddr() string { return s.peers }

// MetricsAddr returns the address for metrics and health.
func (s *Settings) MetricsAddr() string { return s.metrics }

// Entry returns the settings that only an entry has.
func (s *Settings) Entry() EntrySettings { return s.entry }

// Control returns the settings that only a control replica has.
func (s *Settings) Control() ControlSettings { return s.control }

// EntrySettings are the settings that only an entry has.
type EntrySettings struct {
	callers  string
	controls []string
	limits   Limits
}

// CallersAddr returns the address for callers and for announcements from backend servers.
func (e EntrySettings) CallersAddr() string { return e.callers }

// ControlAddrs returns the addresses of the control replicas.
func (e EntrySettings) ControlAddrs() []string { return e.controls }

// Limits returns the limits for callers.
func (e EntrySettings) Limits() Limits { return e.limits }

// Limits are the limits for callers.
type Limits struct {
	maxBodyBytes     int
	maxConns         int
	maxUnreadBytes   int
	maxBufferedBytes int
	readTimeout      time.Duration
	idleTimeout      time.Duration
	writeTimeout     time.Duration
}

// MaxBodyBytes returns the largest request body in bytes.
func (l Limits) MaxBodyBytes() int { return l.maxBodyBytes }

// MaxConns returns the largest number of connections.
func (l Limits) MaxConns() int { return l.maxConns }

// MaxUnreadBytes returns a response's bytes that its caller may leave unread.
func (l Limits) MaxUnreadBytes() int { return l.maxUnreadBytes }

// MaxBufferedBytes returns the bytes of all requests that may be read or handled at a time.
func (l Limits) MaxBufferedBytes() int { return l.maxBufferedBytes }

// ReadTimeout returns the timeout for reading a whole request, including its body.
func (l Limits) ReadTimeout() time.Duration { return l.readTimeout }

// IdleTimeout returns the timeout of a connection without requests.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// WriteTimeout returns the timeout of one write to a caller.
func (l Limits) WriteTimeout() time.Duration { return l.writeTimeout }

// ControlSettings are the settings that only a control replica has.
type ControlSettings struct {
	id         uint64
	cluster    string
	dataFolder string
	operators  string
	tokensFile string
	tls        TLSFiles
	members    []Member
	store      StoreLimits
}

// ID returns the replica's number.
func (c ControlSettings) ID() uint64 { return c.id }

// Cluster returns the name of the replica group.
func (c ControlSettings) Cluster() string { return c.cluster }

// DataFolder returns the data folder.
func (c ControlSettings) DataFolder() string { return c.dataFolder }

// OperatorsAddr returns the operators' API's address.
func (c ControlSettings) OperatorsAddr() string { return c.operators }

// TokensFile returns the operators' token file.
func (c ControlSettings) TokensFile() string { return c.tokensFile }

// TLS returns the operators' listener's certificate files.
func (c ControlSettings) TLS() TLSFiles { return c.tls }

// Members returns a new group's initial replicas; a replica that joins a running one has none.
func (c ControlSettings) Members() []Member { return c.members }

// Store returns the weight store's limits.
func (c ControlSettings) Store() StoreLimits { return c.store }

// TLSFiles names a listener's certificate files; without them it serves plain HTTP.
type TLSFiles struct {
	certFile string
	keyFile  string
}

// CertFile returns the path of the certificate in PEM, or "".
func (t TLSFiles) CertFile() string { return t.certFile }

// KeyFile returns the path of the private key in PEM.
func (t TLSFiles) KeyFile() string { return t.keyFile }

// Member is a replica of the control group.
type Member struct {
	id   uint64
	addr string
}

// ID returns the replica's number.
func (m Member) ID() uint64 { return m.id }

// Addr returns the replica's peers address.
func (m Member) Addr() string { return m.addr }

// StoreLimits are the weight store's limits.
type StoreLimits struct {
	loadsPerSecond float64
	parallel       int
	inflight       int
	loadTime       time.Duration
}

// LoadsPerSecond returns how many loads may start.
func (s StoreLimits) LoadsPerSecond() float64 { return s.loadsPerSecond }

// Parallel returns the concurrent loads at full speed.
func (s StoreLimits) Parallel() int { return s.parallel }

// InFlight returns the loads in flight above which all slow down.
func (s StoreLimits) InFlight() int { return s.inflight }

// LoadTime returns a load's duration at full speed.
func (s StoreLimits) LoadTime() time.Duration { return s.loadTime }
