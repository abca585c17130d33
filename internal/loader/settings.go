// Package loader reads the settings of a daemon: Settings for internal/scheduler, Node for
// internal/router.
package loader

import (
	"net"
	"os"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/parser"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// Settings are the settings of an entry host that runs internal/scheduler, with its own
// platform service. They do not change while the daemon runs.
type Settings struct {
	// Name is the host's name, unique in the deployment.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// ListenAddress is the address on which the daemon listens.
	ListenAddress string
	// Address is the address at which clients and peers reach the host.
	Address string
	// PlatformAddress is the address of the platform's service, and PlatformTimeout limits
	// a request to it.
	PlatformAddress string
	PlatformTimeout time.Duration
	// PollInterval is the interval at which a host that is alone in its zone reads the
	// platform, and MaxPollInterval the maximum interval of a host that has peers.
	PollInterval    time.Duration
	MaxPollInterval time.Duration
	// PeerKey is the peer key, which all entry hosts share.
	PeerKey []byte
	// Peers are the addresses of some other entry hosts, known at the start.
	Peers []string
	// OperatorTokenHash is the SHA-256 hash of the operators' bearer token.
	OperatorTokenHash string
	// Certificate, Key and Authority are the paths of PEM files. Without a certificate
	// the daemon serves plain HTTP.
	Certificate string
	Key         string
	Authority   string
	// ShutdownTimeout is the timeout of a graceful shutdown.
	ShutdownTimeout time.Duration
	// MaxBodyBytes limits the size of a submission, ReadTimeout the time until it has
	// arrived, and MaxRequests the number of open requests.
	MaxBodyBytes int64
	ReadTimeout  time.Duration
	MaxRequests  int
	// MaxResultBytes is the maximum size of a task's result in bytes.
	MaxResultBytes int64
	// DialTimeout limits the time to connect to a target, and UnackedTimeout the time for
	// which sent data may stay unacknowledged.
	DialTimeout    time.Duration
	UnackedTimeout time.Duration
	// Verbosity is the level of detail of the log, and MaxLogLines the maximum
	// number of lines per second at each level.
	Verbosity   int
	MaxLogLines int
	// Bounds are the limits of the scheduler.
	Bounds scheduler.Bounds
}

// minPeerKeyBytes is the minimum length of the peer key.
const minPeerKeyBytes = 16

// Load reads a settings file. The error is of type parser.Faults and lists every fault
// of the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, parser.Faults{{File: path, Problem: err.Error(), Remedy: "name a readable settings file with -config"}}
	}
	return Parse(path, string(text))
}

// Parse reads settings from INI text. The name of the file is used in error texts. The
// error is of type parser.Faults and lists every fault.
func Parse(name, text string) (*Settings, error) {
	doc := parser.Parse(name, text)
	v := &Settings{Bounds: scheduler.Standard()}
	v.readHost(doc)
	v.readPlatform(doc)
	v.readPeers(doc)
	v.readSecurity(doc)
	v.readLimits(doc)
	v.readTargets(doc)
	v.readLog(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return v, nil
}

func (v *Settings) readHost(doc *parser.Document) {
	s := doc.Section("host")
	defer s.ReportUnknownKeys()
	v.Name = s.RequiredText("name", "give the host a name that is unique in the deployment")
	v.Zone = s.RequiredText("zone", "name the host's availability zone")
	v.ListenAddress = s.RequiredText("listen", "write the address to open, such as 127.0.0.1:7100")
	v.Address = s.Text("address", v.ListenAddress)
	checkAddress(doc, "host", "listen", v.ListenAddress)
	checkAddress(doc, "host", "address", v.Address)
	v.ShutdownTimeout = s.Duration("drain", 30*time.Second, 10*time.Millisecond, time.Hour)
}

func (v *Settings) readPlatform(doc *parser.Document) {
	s := doc.Section("platform")
	defer s.ReportUnknownKeys()
	v.PlatformAddress = s.RequiredText("address", "write the address of the platform's service")
	checkAddress(doc, "platform", "address", v.PlatformAddress)
	v.PlatformTimeout = s.Duration("timeout", time.Second, 10*time.Millisecond, time.Minute)
	v.PollInterval = s.Duration("poll", time.Second, 10*time.Millisecond, time.Minute)
	v.MaxPollInterval = s.Duration("slowest", 2*time.Second, 10*time.Millisecond, time.Minute)
}

func (v *Settings) readPeers(doc *parser.Document) {
	s := doc.Section("peers")
	defer s.ReportUnknownKeys()
	v.PeerKey = []byte(s.RequiredText("key", "write the key that all entry hosts share"))
	if len(v.PeerKey) > 0 && len(v.PeerKey) < minPeerKeyBytes {
		doc.AddFault("peers", "key", "too short", "write at least 16 bytes")
	}
	v.Peers = s.List("addresses")
	for _, address := range v.Peers {
		checkAddress(doc, "peers", "addresses", address)
	}
	v.Bounds.PeerTimeout = s.Duration("quiet", v.Bounds.PeerTimeout, 10*time.Millisecond, time.Minute)
	v.Bounds.ReportInterval = s.Duration("calm", v.Bounds.ReportInterval, 10*time.Millisecond, time.Minute)
	v.Bounds.FastReportInterval = s.Duration("hurry", v.Bounds.FastReportInterval, 10*time.Millisecond, time.Minute)
	if v.Bounds.PeerTimeout < 2*v.Bounds.ReportInterval {
		doc.AddFault("peers", "quiet", "shorter than two calm periods", "raise quiet or lower calm")
	}
}

func (v *Settings) readSecurity(doc *parser.Document) {
	s := doc.Section("security")
	defer s.ReportUnknownKeys()
	v.OperatorTokenHash = s.Text("operator", "")
	v.Certificate = s.Text("certificate", "")
	v.Key = s.Text("key", "")
	v.Authority = s.Text("authority", "")
	if (v.Certificate == "") != (v.Key == "") {
		doc.AddFault("security", "certificate", "only one of certificate and key is set", "set both files or neither")
	}
}

func (v *Settings) readLimits(doc *parser.Document) {
	s := doc.Section("limits")
	defer s.ReportUnknownKeys()
	b := &v.Bounds
	v.MaxBodyBytes = int64(s.Int("body", 4<<20, 1<<10, 64<<20))
	v.ReadTimeout = s.Duration("read", 30*time.Second, 10*time.Millisecond, time.Hour)
	v.MaxRequests = s.Int("requests", 4096, 1, 1<<20)
	b.MaxWaitingTasks = s.Int("waiting", b.MaxWaitingTasks, 1, 10_000_000)
	b.TicketLifetime = s.Duration("ticket", b.TicketLifetime, time.Second, 24*time.Hour)
	b.AnswerRetention = s.Duration("keep", b.AnswerRetention, time.Second, 24*time.Hour)
	b.MaxRetainedBytes = s.Int("keepbytes", b.MaxRetainedBytes, 0, 1<<30)
	b.MaxRetainedJobs = s.Int("keepjobs", b.MaxRetainedJobs, 1, 1_000_000)
	b.PauseThreshold = s.Duration("pause", b.PauseThreshold, 10*b.TickInterval, time.Minute)
}

func (v *Settings) readTargets(doc *parser.Document) {
	s := doc.Section("targets")
	defer s.ReportUnknownKeys()
	v.DialTimeout = s.Duration("dial", 300*time.Millisecond, time.Millisecond, time.Minute)
	v.UnackedTimeout = s.Duration("unacked", time.Second, 10*time.Millisecond, time.Minute)
	v.MaxResultBytes = int64(s.Int("result", 1<<20, 1, 64<<20))
	v.Bounds.StartTimeout = s.Duration("within", v.Bounds.StartTimeout, time.Millisecond, time.Minute)
}

func (v *Settings) readLog(doc *parser.Document) {
	s := doc.Section("log")
	defer s.ReportUnknownKeys()
	v.Verbosity = s.Int("verbosity", 0, 0, 9)
	v.MaxLogLines = s.Int("lines", 2000, 1, 1_000_000)
}

// checkAddress adds a fault if a non-empty address is not an IP address and a port.
func checkAddress(doc *parser.Document, section, key, address string) {
	if address == "" {
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		doc.AddFault(section, key, "not an address", "write an IP address and a port, such as 127.0.0.1:7100")
	}
}
