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
	// Listen is the address on which the daemon listens.
	Listen string
	// Address is the address at which clients and peers reach the host.
	Address string
	// Platform is the address of the platform's service, and Timeout limits a request
	// to it.
	Platform string
	Timeout  time.Duration
	// Poll is the interval at which a host that is alone in its zone reads the
	// platform, and PollSlowest the maximum interval of a host that has peers.
	Poll        time.Duration
	PollSlowest time.Duration
	// Secret is the peer key, which all entry hosts share.
	Secret []byte
	// Peers are the addresses of some other entry hosts, known at the start.
	Peers []string
	// Operator is the SHA-256 hash of the operators' bearer token.
	Operator string
	// Certificate, Key and Authority are the paths of PEM files. Without a certificate
	// the daemon serves plain HTTP.
	Certificate string
	Key         string
	Authority   string
	// Drain is the timeout of a graceful shutdown.
	Drain time.Duration
	// Body is the maximum size of a submission in bytes, Read the timeout for its
	// arrival, and Requests the maximum number of open requests.
	Body     int64
	Read     time.Duration
	Requests int
	// Result is the maximum size of a task's result in bytes.
	Result int64
	// Dial limits the time to connect to a target, and Unacked the time for which sent
	// data may stay unacknowledged.
	Dial    time.Duration
	Unacked time.Duration
	// Verbosity is the level of detail of the log, and Lines the maximum number of
	// lines per second at each level.
	Verbosity int
	Lines     int
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
	defer s.Close()
	v.Name = s.Need("name", "give the host a name that is unique in the deployment")
	v.Zone = s.Need("zone", "name the host's availability zone")
	v.Listen = s.Need("listen", "write the address to open, such as 127.0.0.1:7100")
	v.Address = s.Text("address", v.Listen)
	checkAddress(doc, "host", "listen", v.Listen)
	checkAddress(doc, "host", "address", v.Address)
	v.Drain = s.Duration("drain", 30*time.Second, 10*time.Millisecond, time.Hour)
}

func (v *Settings) readPlatform(doc *parser.Document) {
	s := doc.Section("platform")
	defer s.Close()
	v.Platform = s.Need("address", "write the address of the platform's service")
	checkAddress(doc, "platform", "address", v.Platform)
	v.Timeout = s.Duration("timeout", time.Second, 10*time.Millisecond, time.Minute)
	v.Poll = s.Duration("poll", time.Second, 10*time.Millisecond, time.Minute)
	v.PollSlowest = s.Duration("slowest", 2*time.Second, 10*time.Millisecond, time.Minute)
}

func (v *Settings) readPeers(doc *parser.Document) {
	s := doc.Section("peers")
	defer s.Close()
	v.Secret = []byte(s.Need("key", "write the key that all entry hosts share"))
	if len(v.Secret) > 0 && len(v.Secret) < minPeerKeyBytes {
		doc.Fault("peers", "key", "too short", "write at least 16 bytes")
	}
	v.Peers = s.List("addresses")
	for _, address := range v.Peers {
		checkAddress(doc, "peers", "addresses", address)
	}
	v.Bounds.Quiet = s.Duration("quiet", v.Bounds.Quiet, 10*time.Millisecond, time.Minute)
	v.Bounds.Calm = s.Duration("calm", v.Bounds.Calm, 10*time.Millisecond, time.Minute)
	v.Bounds.Hurry = s.Duration("hurry", v.Bounds.Hurry, 10*time.Millisecond, time.Minute)
	if v.Bounds.Quiet < 2*v.Bounds.Calm {
		doc.Fault("peers", "quiet", "shorter than two calm periods", "raise quiet or lower calm")
	}
}

func (v *Settings) readSecurity(doc *parser.Document) {
	s := doc.Section("security")
	defer s.Close()
	v.Operator = s.Text("operator", "")
	v.Certificate = s.Text("certificate", "")
	v.Key = s.Text("key", "")
	v.Authority = s.Text("authority", "")
	if (v.Certificate == "") != (v.Key == "") {
		doc.Fault("security", "certificate", "only one of certificate and key is set", "set both files or neither")
	}
}

func (v *Settings) readLimits(doc *parser.Document) {
	s := doc.Section("limits")
	defer s.Close()
	b := &v.Bounds
	v.Body = int64(s.Int("body", 4<<20, 1<<10, 64<<20))
	v.Read = s.Duration("read", 30*time.Second, 10*time.Millisecond, time.Hour)
	v.Requests = s.Int("requests", 4096, 1, 1<<20)
	b.Waiting = s.Int("waiting", b.Waiting, 1, 10_000_000)
	b.Life = s.Duration("ticket", b.Life, time.Second, 24*time.Hour)
	b.Keep = s.Duration("keep", b.Keep, time.Second, 24*time.Hour)
	b.KeepBytes = s.Int("keepbytes", b.KeepBytes, 0, 1<<30)
	b.KeepJobs = s.Int("keepjobs", b.KeepJobs, 1, 1_000_000)
	b.Pause = s.Duration("pause", b.Pause, 10*b.Tick, time.Minute)
}

func (v *Settings) readTargets(doc *parser.Document) {
	s := doc.Section("targets")
	defer s.Close()
	v.Dial = s.Duration("dial", 300*time.Millisecond, time.Millisecond, time.Minute)
	v.Unacked = s.Duration("unacked", time.Second, 10*time.Millisecond, time.Minute)
	v.Result = int64(s.Int("result", 1<<20, 1, 64<<20))
	v.Bounds.Within = s.Duration("within", v.Bounds.Within, time.Millisecond, time.Minute)
}

func (v *Settings) readLog(doc *parser.Document) {
	s := doc.Section("log")
	defer s.Close()
	v.Verbosity = s.Int("verbosity", 0, 0, 9)
	v.Lines = s.Int("lines", 2000, 1, 1_000_000)
}

// checkAddress adds a fault if a non-empty address is not an IP address and a port.
func checkAddress(doc *parser.Document, section, key, address string) {
	if address == "" {
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		doc.Fault(section, key, "not an address", "write an IP address and a port, such as 127.0.0.1:7100")
	}
}
