package loader

import (
	"time"

	"github.com/shallotrouter/shallotrouter/internal/parser"
	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Node are the settings of an entry host that runs internal/router, on a platform of
// leased targets. They do not change while the daemon runs.
type Node struct {
	// Name is the host's name, unique in the deployment, and Zone its availability zone.
	Name string
	Zone string
	// CPUCores is the host's processor share in cores. Hosts with a larger share are
	// preferred as holders of the targets of a zone.
	CPUCores float64
	// LinkMbits is the rate of the host's network link in Mbit/s; 0 means unknown.
	LinkMbits float64
	// MemoryMB is the host's memory in MB, and MaxFiles the number of descriptors that the
	// daemon may open; 0 means unknown. They bound what clients' requests may take.
	MemoryMB int
	MaxFiles int
	// ClientAddress, ProbeAddress, LinkAddress and MetricsAddress are the addresses on
	// which the daemon listens for clients, the load balancer, other entry hosts and
	// monitoring. If MetricsAddress is empty, the metrics are served at ProbeAddress.
	ClientAddress  string
	ProbeAddress   string
	LinkAddress    string
	MetricsAddress string
	// BindAddress is the address on which the daemon listens for other entry hosts, if it
	// differs from LinkAddress, at which they reach it.
	BindAddress string
	// Seeds are the link addresses of some other entry hosts, through which the host
	// finds the rest. They may be out of date.
	Seeds []string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// DialTimeout limits the time to connect to a target or the store, and UnackedTimeout
	// the time for which sent bytes may stay unacknowledged.
	DialTimeout    time.Duration
	UnackedTimeout time.Duration
	// MaxConnections is the maximum number of open connections to one target.
	MaxConnections int
	// Verbosity is the level of detail of the log, MaxLogLines the maximum number of
	// logged decisions per second, and LogBufferBytes the maximum number of bytes that
	// wait to be written.
	Verbosity      int
	MaxLogLines    int
	LogBufferBytes int
	// Bounds are the limits of the router.
	Bounds router.Bounds
	// Values are the effective values and where each comes from.
	Values []parser.Setting
}

// IsNode reports whether INI text contains the settings of a Node, which have a [node]
// section. Those of a daemon with its own platform service have none; see Settings.
func IsNode(text string) bool { return parser.Parse("", text).HasSection("node") }

// ParseNode reads settings from INI text. The name of the file is used in error texts.
// The error is of type parser.Faults and lists every fault.
func ParseNode(name, text string) (*Node, error) {
	doc := parser.Parse(name, text)
	v := &Node{Bounds: router.Standard()}
	v.readNode(doc)
	v.readStore(doc)
	v.readTargets(doc)
	v.readMembers(doc)
	v.readLog(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	v.Values = doc.Settings()
	return v, nil
}

// jobMemoryPart is the part of the host's memory that open jobs may take at their holder.
const jobMemoryPart = 8

func (v *Node) readNode(doc *parser.Document) {
	s := doc.Section("node")
	defer s.ReportUnknownKeys()
	v.Name = s.RequiredText("name", "give the host a name that is unique in the deployment")
	v.Zone = s.RequiredText("zone", "name the host's availability zone")
	v.CPUCores = s.Float("power", 1, 0.001, 1024)
	v.LinkMbits = s.Float("link", 0, 0, 1_000_000)
	v.MemoryMB = s.Int("memory", 0, 0, 1<<30)
	v.MaxFiles = s.Int("files", 0, 0, 1<<30)
	if v.MemoryMB > 0 {
		v.Bounds.JobMemory = v.MemoryMB << 20 / jobMemoryPart
	}
	v.ClientAddress = s.RequiredText("clients", "write the address for clients, such as 127.0.0.1:7100")
	v.ProbeAddress = s.RequiredText("probe", "write the address for the load balancer, such as 127.0.0.1:7101")
	v.LinkAddress = s.RequiredText("links", "write the address for other entry hosts, such as 127.0.0.1:7102")
	v.BindAddress = s.Text("bind", "")
	v.MetricsAddress = s.Text("metrics", "")
	for key, address := range map[string]string{"clients": v.ClientAddress, "probe": v.ProbeAddress, "links": v.LinkAddress, "bind": v.BindAddress, "metrics": v.MetricsAddress} {
		checkAddress(doc, "node", key, address)
	}
	if v.BindAddress == "" {
		v.BindAddress = v.LinkAddress
	}
	v.Bounds.RetryDelay = s.Duration("retry", v.Bounds.RetryDelay, 10*time.Millisecond, time.Hour)
	v.Bounds.ShutdownTimeout = s.Duration("grace", v.Bounds.ShutdownTimeout, time.Second, time.Hour)
	v.Bounds.ShutdownLinger = s.Duration("linger", v.Bounds.ShutdownLinger, 0, time.Hour)
}

func (v *Node) readStore(doc *parser.Document) {
	s := doc.Section("store")
	defer s.ReportUnknownKeys()
	v.StoreAddress = s.RequiredText("address", "write the address of the platform's store")
	checkAddress(doc, "store", "address", v.StoreAddress)
	v.Bounds.DirectoryInterval = s.Duration("directory", v.Bounds.DirectoryInterval, 10*time.Millisecond, time.Minute)
}

func (v *Node) readTargets(doc *parser.Document) {
	s := doc.Section("targets")
	defer s.ReportUnknownKeys()
	b := &v.Bounds
	v.DialTimeout = s.Duration("dial", 150*time.Millisecond, time.Millisecond, time.Minute)
	v.UnackedTimeout = s.Duration("unacked", 500*time.Millisecond, 10*time.Millisecond, time.Minute)
	v.MaxConnections = s.Int("connections", 16, 2, 10_000)
	b.LeaseDuration = s.Duration("lease", b.LeaseDuration, 100*time.Millisecond, time.Minute)
	b.StopDuration = s.Duration("stop", b.StopDuration, time.Millisecond, time.Minute)
	b.MaxSharedTargets = s.Int("split", b.MaxSharedTargets, 1, 1_000_000)
	if b.RenewWait >= b.LeaseDuration-2*b.RenewTimeout {
		b.RenewWait = (b.LeaseDuration - 2*b.RenewTimeout) / 2
	}
}

func (v *Node) readMembers(doc *parser.Document) {
	s := doc.Section("members")
	defer s.ReportUnknownKeys()
	b := &v.Bounds
	v.Seeds = s.List("seeds")
	for _, address := range v.Seeds {
		checkAddress(doc, "members", "seeds", address)
	}
	b.HeartbeatInterval = s.Duration("beat", b.HeartbeatInterval, 10*time.Millisecond, time.Minute)
	b.PeerTimeout = s.Duration("silence", b.PeerTimeout, 20*time.Millisecond, time.Minute)
	b.OriginTimeout = s.Duration("trust", b.OriginTimeout, 20*time.Millisecond, time.Minute)
	if b.PeerTimeout < 3*b.HeartbeatInterval {
		doc.AddFault("members", "silence", "shorter than three heartbeats", "raise silence or lower beat")
	}
	if b.OriginTimeout < b.PeerTimeout {
		doc.AddFault("members", "trust", "shorter than silence", "raise trust or lower silence")
	}
	if b.RetryDelay <= b.OriginTimeout+b.OrderTimeout+b.StopDuration {
		doc.AddFault("node", "retry", "too short to stop a run after members.trust", "lower trust, or raise retry if clients wait longer")
	}
	if b.LeaseDuration+b.OrderTimeout > b.RetryDelay {
		doc.AddFault("targets", "lease", "too long for a run to end before node.retry", "lower lease, or raise retry if clients wait longer")
	}
	b.QuarantineDuration = b.OriginTimeout + b.LeaseDuration + 3*b.StopDuration
}

func (v *Node) readLog(doc *parser.Document) {
	s := doc.Section("log")
	defer s.ReportUnknownKeys()
	v.Verbosity = s.Int("verbosity", 0, 0, 9)
	v.MaxLogLines = s.Int("lines", 3000, 1, 1_000_000)
	v.LogBufferBytes = s.Int("buffer", 1<<20, 1<<10, 1<<30)
}
