package loader

import "time"

// Role is what a process does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings are the settings of one process: of an entry or of a control replica.
type Settings struct {
	file    string
	role    Role
	name    string
	zone    string
	zones   []string
	peers   string
	metrics string
	entry   Entry
	control Control
}

// File returns the file that the settings were read from.
func (s *Settings) File() string { return s.file }

// Role returns what the process does.
func (s *Settings) Role() Role { return s.role }

// Name returns the process's name.
func (s *Settings) Name() string { return s.name }

// Zone returns the data centre that the process lives in.
func (s *Settings) Zone() string { return s.zone }

// Zones returns all data centres of the deployment.
func (s *Settings) Zones() []string { return s.zones }

// Peers returns the address for the system's other processes.
func (s *Settings) Peers() string { return s.peers }

// Metrics returns the address for metrics and health.
func (s *Settings) Metrics() string { return s.metrics }

// Entry returns the settings that only an entry has.
func (s *Settings) Entry() Entry { return s.entry }

// Control returns the settings that only a control replica has.
func (s *Settings) Control() Control { return s.control }

// Entry are the settings that only an entry has.
type Entry struct {
	callers  string
	controls []string
	limits   Limits
}

// Callers returns the address for callers and for the announcements of backend servers.
func (e Entry) Callers() string { return e.callers }

// Controls returns the addresses of the control replicas.
func (e Entry) Controls() []string { return e.controls }

// Limits returns what one caller may take.
func (e Entry) Limits() Limits { return e.limits }

// Limits are what callers may take.
type Limits struct {
	body   int
	conns  int
	unread int
	header time.Duration
	idle   time.Duration
	write  time.Duration
}

// Body returns the largest body of a request in bytes.
func (l Limits) Body() int { return l.body }

// Conns returns the largest number of open connections.
func (l Limits) Conns() int { return l.conns }

// Unread returns the bytes of an answer that its caller may leave unread.
func (l Limits) Unread() int { return l.unread }

// Header returns the time within which a whole request must have come, its body included.
func (l Limits) Header() time.Duration { return l.header }

// Idle returns how long a connection may stay open without a request.
func (l Limits) Idle() time.Duration { return l.idle }

// Write returns the time that one write to a caller may take.
func (l Limits) Write() time.Duration { return l.write }

// Control are the settings that only a control replica has.
type Control struct {
	id        uint64
	cluster   string
	folder    string
	operators string
	tokens    string
	tls       TLS
	members   []Member
	store     Store
}

// ID returns the replica's number.
func (c Control) ID() uint64 { return c.id }

// Cluster returns the name of the group of replicas.
func (c Control) Cluster() string { return c.cluster }

// Folder returns the data folder.
func (c Control) Folder() string { return c.folder }

// Operators returns the address for operators.
func (c Control) Operators() string { return c.operators }

// Tokens returns the file with the operators' tokens.
func (c Control) Tokens() string { return c.tokens }

// TLS returns the certificate of the operators' listener.
func (c Control) TLS() TLS { return c.tls }

// Members returns the first replicas of a new group; a replica that joins a running one has none.
func (c Control) Members() []Member { return c.members }

// Store returns what the weight store allows.
func (c Control) Store() Store { return c.store }

// TLS names the files of a listener's certificate; without them it is plain HTTP.
type TLS struct {
	cert string
	key  string
}

// Cert returns the file with the certificate in PEM, empty if there is none.
func (t TLS) Cert() string { return t.cert }

// Key returns the file with the certificate's key in PEM.
func (t TLS) Key() string { return t.key }

// Member is one replica of the control group.
type Member struct {
	id   uint64
	addr string
}

// ID returns the replica's number.
func (m Member) ID() uint64 { return m.id }

// Addr returns the replica's address for other processes.
func (m Member) Addr() string { return m.addr }

// Store is what the weight store allows.
type Store struct {
	rate     float64
	parallel int
	inflight int
	load     time.Duration
}

// Rate returns the loads that may start in a second.
func (s Store) Rate() float64 { return s.rate }

// Parallel returns the loads at once at full speed.
func (s Store) Parallel() int { return s.parallel }

// InFlight returns the loads in flight beyond which all are stretched.
func (s Store) InFlight() int { return s.inflight }

// Load returns the time of a load at full speed.
func (s Store) Load() time.Duration { return s.load }
