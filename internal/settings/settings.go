// Package settings loads and validates the settings file of a process of the mesh, and detects changes of the file.
//
// The file is YAML and is validated with a CUE schema. Unknown fields are ignored. The schema is compiled for each load and not
// kept in memory, because a process loads its settings only at startup and after a change.
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

//go:embed settings.cue
var settingsSchema string

// PathVariable is the environment variable that holds the path of the settings file. DefaultPath is used if it is not set.
const (
	PathVariable = "VIOLETLATCH_SETTINGS"
	DefaultPath  = "/etc/violetlatch/local.yaml"
)

// Path returns the path of the settings file of this process.
func Path() string {
	if p := os.Getenv(PathVariable); p != "" {
		return p
	}
	return DefaultPath
}

// Settings holds the contents of a settings file. It must not be modified after Load.
type Settings struct {
	Path         string // path of the settings file
	NodeName     string // name of the machine
	Role         string
	MachineClass string
	IP           string // IPv4 address of the machine
	Zone, Region string
	Serves       []string          // who may call the role from outside
	Zones        map[string]string // region of each zone
	Listen       map[string]string // host:port by the name of what is served there
	Ports        [2]int            // first and last port of the range reserved for the mesh, see Port
	Seeds        []string          // host:port of agents to join through; they may be down, and the list may be empty

	Bootstrap    bool // set at the very first start of the whole system
	QuorumMember bool // belongs to the machines whose losses are bounded by Tolerance

	VoterReplaceAfter time.Duration // after which an unresponsive voter is replaced; cannot be set in the file; 0 means half of Bounds.Catchup

	CPUFraction   float64 // fraction of a core; 0 if not set, as for all limits
	CPUCores      float64 // speed of that core
	MemoryMB      float64
	Descriptors   int
	BandwidthMbps float64
	DiskMB        float64
	DataDir       string // empty if the machine has no disk

	Heartbeat time.Duration // heartbeat interval of a backend; 1 s if not set
	Contracts []string      // names of the rules in force
	Tolerance Tolerance
	Bounds    Bounds

	AppAddr string // host:port of the backend on this machine; empty if there is none
	Service string // service of that backend
}

// Tolerance is the number of concurrent losses that the system must tolerate.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds holds the numbers used by the rules. Those missing from the file have the values of DefaultBounds.
type Bounds struct {
	SeedStaleness  time.Duration // maximum age of the list of control endpoints
	AddressReuse   time.Duration // after which the address of a stopped backend may be reused by another service
	Contact        time.Duration // how long callers keep trying to get an answer
	AckDeadline    time.Duration
	Catchup        time.Duration // for which a machine still counts as lost after its return
	Drain          time.Duration // for which a draining backend continues to serve
	Grace          time.Duration // from SIGTERM to SIGKILL
	LossSlack      time.Duration
	ConfigApply    time.Duration // within which an acknowledged item must take effect
	RollbackSlack  time.Duration
	StretchMax     time.Duration
	RetryRatio     float64 // retries per original request
	RetryWindow    time.Duration
	RetryAllowance float64       // retries per window that do not count against the ratio
	DedupWindow    time.Duration // for which the answer of an operation is stored
	Recovery       time.Duration
}

// DefaultBounds returns the values that apply where the file sets none.
func DefaultBounds() Bounds {
	const s = time.Second
	return Bounds{
		SeedStaleness: 3 * s, AddressReuse: 2 * s, Contact: 3 * s, AckDeadline: 5 * s, Catchup: 4 * s, Drain: 5 * s / 2, Grace: 6 * s,
		LossSlack: s / 5, ConfigApply: 5 * s / 2, RollbackSlack: s / 4, StretchMax: 8 * s,
		RetryRatio: 0.2, RetryWindow: 10 * s, RetryAllowance: 60, DedupWindow: 60 * s, Recovery: 15 * s,
	}
}

// file is the structure of a settings file that conforms to the schema.
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

// Load reads and validates the settings file at path. Errors are a single line with the file, the key, the expected value and the
// actual one.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // includes the path
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.Path = path
	return s, nil
}

// Parse parses and validates the contents of a settings file. Errors are as in Load, without the file name.
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
		BandwidthMbps: f.Limits.BandwidthMbps, DiskMB: f.Limits.DiskMB, DataDir: stringOrEmpty(f.DataDir),
		Heartbeat: time.Second, Contracts: f.Contracts,
		Tolerance: Tolerance{f.Tolerance.Machines, f.Tolerance.Zones, f.Tolerance.Regions},
		AppAddr:   stringOrEmpty(f.AppAddr), Service: stringOrEmpty(f.Service),
	}
	if f.Heartbeat != nil {
		s.Heartbeat = seconds(*f.Heartbeat)
	}
	if s.Ports[1] < s.Ports[0] {
		return nil, &schema.Violation{Path: []string{"ephemeral-ports"}, Expected: "the last port not below the first", Actual: fmt.Sprint(s.Ports[1], " after ", s.Ports[0])}
	}
	var err error
	s.Bounds, err = parseBounds(f.Bounds)
	return s, err
}

// parseBounds parses name=value pairs: a list of strings, one string separated by commas, or nil. Unknown names are ignored.
func parseBounds(from any) (Bounds, error) {
	b := DefaultBounds()
	var texts []string
	switch v := from.(type) {
	case string:
		texts = []string{v}
	case []any:
		for _, t := range v {
			if t, ok := t.(string); ok { // always true for data that passed the schema
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
		if err != nil || !(x >= 0 && x <= maxNumber) {
			return b, &schema.Violation{Path: []string{"bounds", name}, Expected: "a number from 0 to 1000000", Actual: strconv.Quote(value)}
		}
		if d != nil {
			*d = seconds(x)
		} else {
			*n = x
		}
	}
	return b, nil
}

const maxNumber = 1e6 // largest plausible value, for example in seconds; anything above is a mistake

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// Port returns host:port of the i-th port of the Ports range on this machine, counted from 0. It is empty if i is out of range.
func (s *Settings) Port(i int) string {
	if i < 0 || i > s.Ports[1]-s.Ports[0] {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]+i))
}

// Watch detects changes of a file by polling: it looks only when Changed is called. It is not safe for concurrent use.
type Watch struct {
	path string
	info os.FileInfo
	sum  [sha256.Size]byte
}

// NewWatch returns a Watch for the file at path, starting from its current content. If it is created before the first Load, no
// change is missed. A file that cannot be read counts as empty.
func NewWatch(path string) *Watch {
	w := &Watch{path: path}
	w.read()
	return w
}

// Changed reports whether the content of the file has changed since the last call, or since NewWatch. A file that cannot be read
// is not reported as changed, because it may be in the course of being replaced. The content is read only if the size, the
// modification time or the file itself has changed.
func (w *Watch) Changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || w.info != nil && os.SameFile(info, w.info) && info.Size() == w.info.Size() && info.ModTime().Equal(w.info.ModTime()) {
		return false
	}
	before := w.sum
	return w.read() == nil && w.sum != before
}

// read records the current state of the file. A write after the stat is detected by the next stat.
func (w *Watch) read() error {
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
