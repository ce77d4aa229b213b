package setup

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of the environment variables of settings, without the
// underscore that follows it.
const EnvPrefix = "GREENGAGELINE"

// ErrInvalid is wrapped by every error about settings.
var ErrInvalid = errors.New("invalid settings")

// Settings are the local settings of a node. The declarations in declare describe each field.
type Settings struct {
	Node       string
	Zone       string
	Listen     string
	PeerListen string
	PeerAddr   string
	Peers      string
	Platform   string
	LogLevel   string

	CellLease         time.Duration
	CellRenew         time.Duration
	RunLease          time.Duration
	StartLease        time.Duration
	RunRenew          time.Duration
	Heartbeat         time.Duration
	ConfigPoll        time.Duration
	MaxConfigAge      time.Duration
	VMPoll            time.Duration
	WorkerLostAfter   time.Duration
	UnknownAfter      time.Duration
	AnswerWait        time.Duration
	DrainLimit        time.Duration
	EndedJobRetention time.Duration

	MaxBody             int
	MemoryMB            int
	MaxFds              int
	OwnerQueueSize      int
	MaxConcurrentStarts int
	SlotsPerVM          int
	RetryPercent        int
}

// Option describes one setting. Its check applies to the Settings for which the option
// was declared.
type Option struct {
	Name    string
	Unit    string
	Default string
	Doc     string
	check   func() error
}

// optionList adds each declared setting to a flag set and to the list of options.
type optionList struct {
	fs      *flag.FlagSet
	options []Option
}

func (d *optionList) add(name, unit, def, doc string, check func() error) {
	d.options = append(d.options, Option{Name: name, Unit: unit, Default: def, Doc: doc, check: check})
}

func (d *optionList) text(p *string, name, def, doc string, check func(string) error) {
	d.fs.StringVar(p, name, def, doc)
	d.add(name, "text", def, doc, func() error { return check(*p) })
}

func (d *optionList) duration(p *time.Duration, name string, def, low, high time.Duration, doc string) {
	d.fs.DurationVar(p, name, def, doc)
	d.add(name, "duration", def.String(), doc, func() error {
		if *p < low || *p > high {
			return fmt.Errorf("is %s, want %s to %s", *p, low, high)
		}
		return nil
	})
}

func (d *optionList) number(p *int, name, unit string, def, low, high int, doc string) {
	d.fs.IntVar(p, name, def, doc)
	d.add(name, unit, fmt.Sprint(def), doc, func() error {
		if *p < low || *p > high {
			return fmt.Errorf("is %d, want %d to %d", *p, low, high)
		}
		return nil
	})
}

// declare sets s to the defaults, binds every setting to a flag of fs, and returns the
// options in order.
func declare(s *Settings, fs *flag.FlagSet) []Option {
	d := &optionList{fs: fs}
	d.text(&s.Node, "node", "", "Name of this node, unique among the entry VMs.", required)
	d.text(&s.Zone, "zone", "", "Availability zone of this node.", required)
	d.text(&s.Listen, "listen", "127.0.0.1:7000", "Address for callers, operators and the balancer.", address)
	d.text(&s.PeerListen, "peer_listen", "127.0.0.1:7100", "Address for the other nodes.", address)
	d.text(&s.PeerAddr, "peer_addr", "", "Address under which other nodes reach this one; empty means peer_listen.", optionalAddress)
	d.text(&s.Peers, "peers", "", "Peer addresses of the entry VMs, separated by commas; this node's own may be among them.", addressList)
	d.text(&s.Platform, "platform", "", "Address of the platform's table, object store and VM list.", address)
	d.text(&s.LogLevel, "log_level", "info", "Least level of log lines: debug, info, warn or error.", logLevel)
	d.duration(&s.CellLease, "cell_lease", 3*time.Second, 200*time.Millisecond, time.Minute, "How long a cell's ownership lasts without renewal; detection of a dead owner takes this long.")
	d.duration(&s.CellRenew, "cell_renew", 700*time.Millisecond, 20*time.Millisecond, 20*time.Second, "How often ownership is renewed or watched; at most a third of cell_lease.")
	d.duration(&s.RunLease, "run_lease", 15*time.Second, 500*time.Millisecond, 10*time.Minute, "How long a running task lives without renewal.")
	d.duration(&s.StartLease, "start_lease", 2*time.Second, 200*time.Millisecond, time.Minute, "How long a reservation, or a member of a gang that has not started as a whole, lives.")
	d.duration(&s.RunRenew, "run_renew", 2*time.Second, 20*time.Millisecond, time.Minute, "How often the leases of running tasks are renewed and their state read.")
	d.duration(&s.Heartbeat, "heartbeat", time.Second, 20*time.Millisecond, 10*time.Second, "How often nodes exchange heartbeats; three missed ones make a node suspect.")
	d.duration(&s.ConfigPoll, "config_poll", 2*time.Second, 20*time.Millisecond, 10*time.Second, "How often the head of the configuration is read.")
	d.duration(&s.MaxConfigAge, "fresh_bound", 12*time.Second, 100*time.Millisecond, 16*time.Second, "Age of the last proof of freshness after which a node starts nothing.")
	d.duration(&s.VMPoll, "vm_poll", time.Second, 20*time.Millisecond, 30*time.Second, "How often the VM list is read.")
	d.duration(&s.WorkerLostAfter, "gone_after", 30*time.Second, 200*time.Millisecond, 10*time.Minute, "How long a listed worker may be silent before it is taken as lost; at least run_lease.")
	d.duration(&s.UnknownAfter, "unknown_after", 2*time.Minute, 200*time.Millisecond, 24*time.Hour, "How long a silent worker is asked about a job that must not run twice before the job ends as unknown.")
	d.duration(&s.AnswerWait, "answer_wait", 8*time.Second, 100*time.Millisecond, time.Minute, "How long a caller waits for acceptance before it is told to ask again.")
	d.duration(&s.DrainLimit, "drain_limit", 20*time.Second, 100*time.Millisecond, 10*time.Minute, "How long a planned stop may take.")
	d.duration(&s.EndedJobRetention, "keep_done", 30*24*time.Hour, time.Minute, 10*365*24*time.Hour, "How long an ended job and its key are kept; after that a repeat of the key is a new job.")
	d.number(&s.MaxBody, "max_body", "bytes", 256<<10, 1<<10, 16<<20, "Largest body of a request.")
	d.number(&s.MemoryMB, "memory", "MB", 256, 64, 1<<20, "Memory of the VM; unread requests may hold an eighth of it, large replies an eighth, open jobs a quarter (at least 16 MB), unfinished messages of nodes a sixteenth, and connections an eighth.")
	d.number(&s.MaxFds, "max_fds", "descriptors", 1024, 64, 1<<20, "Descriptors that the process may have open; a quarter is for connections of callers and an eighth for those of nodes.")
	d.number(&s.OwnerQueueSize, "inbox", "messages", 8192, 16, 1<<20, "Messages that wait for a cell's owner; more are refused.")
	d.number(&s.MaxConcurrentStarts, "start_at_once", "jobs", 256, 1, 10_000, "Jobs of one cell that are being started at once.")
	d.number(&s.SlotsPerVM, "slots_per_vm", "requests", 8, 1, 1024, "Short requests in progress on one target.")
	d.number(&s.RetryPercent, "retry_percent", "percent", 10, 0, 100, "Retries of short requests as a part of first tries.")
	return d.options
}

// Options returns all settings in the order of their declaration.
func Options() []Option {
	var s Settings
	return declare(&s, flag.NewFlagSet("", flag.ContinueOnError))
}

// Default returns the default settings. They are incomplete: node, zone
// and platform have no default.
func Default() Settings {
	var s Settings
	declare(&s, flag.NewFlagSet("", flag.ContinueOnError))
	return s
}

// Read returns the settings from the flags in args, the environment and the file named
// by -config, in this order of precedence, and checks them. Errors wrap ErrInvalid,
// except that flag.ErrHelp is returned as it is.
func Read(args []string) (Settings, error) {
	var s Settings
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	options := declare(&s, fs)
	file := fs.String("config", "", "settings file")
	positions := map[string]string{}
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return parseTOML(r, *file, options, positions, set)
		}))
	if errors.Is(err, flag.ErrHelp) {
		return s, err
	}
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, s.check(options, positions)
}

// Check checks the settings against their declared ranges and against each other. The
// error wraps ErrInvalid and contains every fault.
func (s Settings) Check() error {
	copied := s
	options := declare(&copied, flag.NewFlagSet("", flag.ContinueOnError))
	copied = s // declare has set the defaults
	return copied.check(options, nil)
}

// check runs the checks of options, which must be declared for s. positions holds the
// "FILE:LINE: " prefixes of settings that come from a file; it may be nil.
func (s *Settings) check(options []Option, positions map[string]string) error {
	var problems []error
	for _, o := range options {
		if err := o.check(); err != nil {
			problems = append(problems, fmt.Errorf("%ssetting %q %w", positions[o.Name], o.Name, err))
		}
	}
	if 3*s.CellRenew > s.CellLease {
		problems = append(problems, fmt.Errorf("%ssetting %q is %s, want at most a third of cell_lease %s",
			positions["cell_renew"], "cell_renew", s.CellRenew, s.CellLease))
	}
	if s.WorkerLostAfter < s.RunLease {
		problems = append(problems, fmt.Errorf("%ssetting %q is %s, want at least run_lease %s",
			positions["gone_after"], "gone_after", s.WorkerLostAfter, s.RunLease))
	}
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
}

// PeerList returns the peer addresses without duplicates and without this node's own.
func (s Settings) PeerList() []string {
	var out []string
	for _, p := range strings.Split(s.Peers, ",") {
		p = strings.TrimSpace(p)
		if p != "" && p != s.PeerAddress() && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// PeerAddress returns the address at which other nodes reach this node.
func (s Settings) PeerAddress() string {
	if s.PeerAddr != "" {
		return s.PeerAddr
	}
	return s.PeerListen
}

func required(v string) error {
	if v == "" {
		return errors.New("is empty; give it in the file, the environment or a flag")
	}
	return nil
}

func address(v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return fmt.Errorf("is %q, want host:port", v)
	}
	return nil
}

func optionalAddress(v string) error {
	if v == "" {
		return nil
	}
	return address(v)
}

func addressList(v string) error {
	for _, one := range strings.Split(v, ",") {
		if err := optionalAddress(strings.TrimSpace(one)); err != nil {
			return err
		}
	}
	return nil
}

func logLevel(v string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, v) {
		return fmt.Errorf("is %q, want debug, info, warn or error", v)
	}
	return nil
}
