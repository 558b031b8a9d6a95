// Package settings reads the settings file that a process of the mesh is given, checks it, and notices when it changes.
//
// The file is YAML and is held against a schema in CUE. Fields that the schema doesn't know are ignored. The schema is
// compiled for each reading and dropped afterwards: a process reads its settings at its start and after a change only.
package settings

import (
	"crypto/sha256"
	_ "embed"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/schema"
)

//go:embed articles.cue
var settingsSchema string

// Variable is the environment variable that holds the path of the settings file, and DefaultPath where it is without one.
const (
	Variable    = "VIOLETLATCH_SETTINGS"
	DefaultPath = "/etc/violetlatch/local.yaml"
)

// Path is where the settings file of this process is.
func Path() string {
	if p := os.Getenv(Variable); p != "" {
		return p
	}
	return DefaultPath
}

// Settings is what a process is told. It is not changed after Load.
type Settings struct {
	Path         string // of the file
	NodeName     string // of the machine
	Role         string
	MachineClass string
	IP           string // IPv4, of the machine
	Zone, Region string
	Serves       []string          // who may call the role from outside
	Zones        map[string]string // the region of each zone
	Listen       map[string]string // host:port by what is served there
	Ports        [2]int            // the first and the last that are free for the mesh's own use, see Port
	Seeds        []string          // host:port of agents to begin with; may be down, may be empty

	Bootstrap    bool // the very first start of the whole system
	QuorumMember bool // counts among the machines whose loss is bounded

	VoterLost time.Duration // after which a voter that answers nobody is replaced; the file can't tell it; 0: half of Bounds.Catchup

	CPUFraction   float64 // of a core; 0: not told, as for all limits
	CPUCores      float64 // how fast that core is
	MemoryMB      float64
	Descriptors   int
	BandwidthMbps float64
	DiskMB        float64
	DataDir       string // empty: the machine has no disk

	Heartbeat time.Duration // between two beats of a backend; 1 s if not told
	Contracts []string      // which rules are in force
	Tolerance Tolerance
	Bounds    Bounds

	AppAddr string // host:port of the backend on this machine; empty: there is none
	Service string // that it runs
}

// Tolerance is what may be lost at one time.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds holds the figures of the rules. One that the file doesn't give has the default that DefaultBounds tells.
type Bounds struct {
	SeedStaleness  time.Duration // how far the list of those who serve control is behind
	AddressReuse   time.Duration // after which the address of an ended backend may belong to another service
	Contact        time.Duration // how long callers go on to look for an answer
	AckDeadline    time.Duration
	Catchup        time.Duration // for which a machine counts as lost after its return
	Drain          time.Duration // that a leaving backend goes on to serve
	Grace          time.Duration // from SIGTERM to SIGKILL
	LossSlack      time.Duration
	ConfigApply    time.Duration // in which an acknowledged item must be in force
	RollbackSlack  time.Duration
	StretchMax     time.Duration
	RetryRatio     float64 // requests sent to a second backend, for each first one
	RetryWindow    time.Duration
	RetryAllowance float64       // such requests free of the ratio, in each window
	DedupWindow    time.Duration // for which the answer of an operation is kept
	Recovery       time.Duration
}

// DefaultBounds are the figures for a file without any.
func DefaultBounds() Bounds {
	const s = time.Second
	return Bounds{
		SeedStaleness: 3 * s, AddressReuse: 2 * s, Contact: 3 * s, AckDeadline: 5 * s, Catchup: 4 * s, Drain: 5 * s / 2, Grace: 6 * s,
		LossSlack: s / 5, ConfigApply: 5 * s / 2, RollbackSlack: s / 4, StretchMax: 8 * s,
		RetryRatio: 0.2, RetryWindow: 10 * s, RetryAllowance: 60, DedupWindow: 60 * s, Recovery: 15 * s,
	}
}

// file is the settings file as the schema lets it pass.
type file struct {
	NodeName     string            `json:"node-name"`
	Role         string            `json:"role"`
	MachineClass string            `json:"machine-class"`
	Serves       []string          `json:"serves"`
	IP           string            `json:"ip"`
	Zone         string            `json:"zone"`
	Region       string            `json:"region"`
	Zones        map[string]string `json:"zones"`
	Listen       map[string]string `json:"listen-addrs"`
	Ports        [2]int            `json:"ephemeral-ports"`
	Seeds        []string          `json:"seed-nodes"`
	Bootstrap    bool              `json:"bootstrap"`
	QuorumMember bool              `json:"quorum-member"`
	Limits       struct {
		CPUFraction   float64 `json:"cpu-fraction"`
		CPUCores      float64 `json:"cpu-cores"`
		MemoryMB      float64 `json:"memory-mb"`
		Descriptors   int     `json:"file-descriptors"`
		BandwidthMbps float64 `json:"bandwidth-mbps"`
		DiskMB        float64 `json:"disk-mb"`
	} `json:"limits"`
	DataDir   *string  `json:"data-directory"`
	Heartbeat *float64 `json:"heartbeat-s"`
	Contracts []string `json:"contracts"`
	Tolerance struct {
		Machines int `json:"machine-losses"`
		Zones    int `json:"zones"`
		Regions  int `json:"region-losses"`
	} `json:"fault-tolerance"`
	Bounds  any     `json:"bounds"`
	AppAddr *string `json:"app-addr"`
	Service *string `json:"service"`
}

// Load reads and checks the settings file at path. An error is one line that names the file, the key, what was wanted there
// and what was found.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the file
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.Path = path
	return s, nil
}

// Parse reads settings from the text of a file. Errors are as in Load, without the file.
func Parse(raw []byte) (*Settings, error) {
	var f file
	if err := schema.YAML(settingsSchema, raw, &f); err != nil {
		return nil, err
	}
	s := &Settings{
		NodeName: f.NodeName, Role: f.Role, MachineClass: f.MachineClass, IP: f.IP, Zone: f.Zone, Region: f.Region,
		Serves: f.Serves, Zones: f.Zones, Listen: f.Listen, Ports: f.Ports, Seeds: f.Seeds,
		Bootstrap: f.Bootstrap, QuorumMember: f.QuorumMember,
		CPUFraction: f.Limits.CPUFraction, CPUCores: f.Limits.CPUCores, MemoryMB: f.Limits.MemoryMB, Descriptors: f.Limits.Descriptors,
		BandwidthMbps: f.Limits.BandwidthMbps, DiskMB: f.Limits.DiskMB, DataDir: text(f.DataDir),
		Heartbeat: time.Second, Contracts: f.Contracts,
		Tolerance: Tolerance{f.Tolerance.Machines, f.Tolerance.Zones, f.Tolerance.Regions},
		AppAddr:   text(f.AppAddr), Service: text(f.Service),
	}
	if f.Heartbeat != nil {
		s.Heartbeat = seconds(*f.Heartbeat)
	}
	if s.Ports[1] < s.Ports[0] {
		return nil, &schema.Fault{Path: []string{"ephemeral-ports"}, Want: "the last port not below the first", Got: fmt.Sprint(s.Ports[1], " after ", s.Ports[0])}
	}
	var err error
	s.Bounds, err = bounds(f.Bounds)
	return s, err
}

// bounds reads name=value texts: a list of them, one line with commas, or nothing.
func bounds(from any) (Bounds, error) {
	b := DefaultBounds()
	var texts []string
	switch v := from.(type) {
	case string:
		texts = []string{v}
	case []any:
		for _, t := range v {
			if t, ok := t.(string); ok { // the schema sees to that
				texts = append(texts, t)
			}
		}
	}
	times := map[string]*time.Duration{
		"seed-staleness-s": &b.SeedStaleness, "address-reuse-s": &b.AddressReuse, "contact-s": &b.Contact, "ack-deadline-s": &b.AckDeadline,
		"catchup-s": &b.Catchup, "drain-s": &b.Drain, "grace-s": &b.Grace, "loss-slack-s": &b.LossSlack, "config-apply-s": &b.ConfigApply,
		"rollback-slack-s": &b.RollbackSlack, "stretch-max-s": &b.StretchMax, "retry-window-s": &b.RetryWindow,
		"dedup-window-s": &b.DedupWindow, "recovery-s": &b.Recovery,
	}
	numbers := map[string]*float64{"retry-budget-ratio": &b.RetryRatio, "retry-allowance": &b.RetryAllowance}
	for _, t := range strings.Split(strings.Join(texts, ","), ",") {
		name, value, _ := strings.Cut(t, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		d, n := times[name], numbers[name]
		if d == nil && n == nil {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= most) {
			return b, &schema.Fault{Path: []string{"bounds", name}, Want: "a number from 0 to 1000000", Got: strconv.Quote(value)}
		}
		if d != nil {
			*d = seconds(x)
		} else {
			*n = x
		}
	}
	return b, nil
}

const most = 1e6 // seconds, and so on: what is beyond that is a mistake

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// Port is the address, as host:port, of port i on this machine, counted from 0 at the first of Ports. It is empty when i is
// out of the range.
func (s *Settings) Port(i int) string {
	if i < 0 || i > s.Ports[1]-s.Ports[0] {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]+i))
}

// Watch tells whether a file has changed since it was asked last. It looks only when asked, and is for one goroutine.
type Watch struct {
	path string
	info os.FileInfo
	sum  [sha256.Size]byte
}

// NewWatch watches the file at path from its present content on. Made before the first Load, it misses no change. A file that
// can't be read counts as empty.
func NewWatch(path string) *Watch {
	w := &Watch{path: path}
	w.look()
	return w
}

// Changed reports whether the content of the file is another than at the last call, or at NewWatch before the first. A file
// that can't be read is no change: it may be on its way. The content is read only if the file has another size, another time or
// is another file.
func (w *Watch) Changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || w.info != nil && os.SameFile(info, w.info) && info.Size() == w.info.Size() && info.ModTime().Equal(w.info.ModTime()) {
		return false
	}
	before := w.sum
	return w.look() == nil && w.sum != before
}

// look takes the content as it is. What is written after the stat shows at the next one.
func (w *Watch) look() error {
	info, err := os.Stat(w.path)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(w.path)
	if err != nil {
		return err
	}
	w.info, w.sum = info, sha256.Sum256(raw)
	return nil
}
