// Package afsettings reads the settings of the daemon from flags and environment variables.
package afsettings

import (
	"log/slog"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Settings are the validated settings of one VM's daemon.
type Settings struct {
	// VM is the VM's name in the platform's list.
	VM string
	// Centre is the VM's data centre.
	Centre string
	// CallerAddress is the IP address and port on which callers' requests are accepted.
	CallerAddress string
	// OperatorAddress is the IP address and port of the operator interface, metrics and health checks.
	OperatorAddress string
	// PeerAddress is the IP address and port on which other VMs' connections are accepted. Other VMs connect to the same
	// address.
	PeerAddress string
	// SeedAddresses are peer addresses to connect to at start, before the platform's list of VMs has been read.
	SeedAddresses []string
	// PlatformURL is the base URL of the object API, without a trailing slash.
	PlatformURL string
	// OperatorTokenDigest is the hexadecimal SHA-256 of the operator token.
	OperatorTokenDigest string
	// LogLevel is the lowest level that is logged.
	LogLevel slog.Level
	// LogsJSON selects JSON log lines instead of text.
	LogsJSON bool
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request line and headers together, in bytes.
	MaxHeaderBytes int64
	// MaxConnections bounds the callers' open connections.
	MaxConnections int
	// MaxWaitingRequests bounds the requests that wait for a replica on this VM.
	MaxWaitingRequests int
	// MaxWaitingBytes bounds the bytes that waiting requests hold on this VM.
	MaxWaitingBytes int64
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// ReadTimeout bounds the time from the first to the last byte of a request.
	ReadTimeout time.Duration
	// StreamProgressTimeout is the time without a byte from an endpoint after which a stream counts as silent.
	StreamProgressTimeout time.Duration
	// PlatformCallTimeout bounds one call to the platform.
	PlatformCallTimeout time.Duration
	// SettleDelay is the time between turning unready and refusing new connections, for the load balancer to notice.
	SettleDelay time.Duration
	// DrainTimeout bounds the graceful shutdown.
	DrainTimeout time.Duration
	// MaxExplainBytes bounds the memory of the explain record, in bytes.
	MaxExplainBytes int64
}

// FlagValues holds the raw text of the flags until ParseSettings validates them together.
type FlagValues struct {
	textByFlag map[string]*string // textByFlag holds the text of each flag by its name without dashes.
}

// DefineFlags defines each setting as a flag of cmd with an environment variable. ParseSettings of the returned values may be
// called once the command line has been parsed.
func DefineFlags(cmd *kingpin.CmdClause) *FlagValues {
	f := &FlagValues{textByFlag: make(map[string]*string)}
	for _, d := range settingDefinitions {
		flag := cmd.Flag(d.flag, d.help).Envar(d.environmentVariable())
		if d.defaultText != "" {
			flag = flag.Default(d.defaultText)
		}
		f.textByFlag[d.flag] = flag.PlaceHolder(d.placeholder()).String()
	}
	return f
}

// ParseSettings validates the parsed flags. The error is an *Error that lists every fault.
func (f *FlagValues) ParseSettings() (Settings, error) {
	var (
		s      Settings
		faults []string
	)
	for _, d := range settingDefinitions {
		text := strings.TrimSpace(*f.textByFlag[d.flag])
		if text == "" {
			if d.isRequired {
				faults = append(faults, d.formatNames()+": required")
			}
			continue
		}
		if err := d.parse(&s, text); err != nil {
			faults = append(faults, d.formatNames()+": "+err.Error())
		}
	}
	if *f.textByFlag["operator-token"] == "" && *f.textByFlag["operator-digest"] == "" {
		faults = append(faults, "--operator-token or --operator-digest: one of them is required")
	}
	if *f.textByFlag["operator-token"] != "" && *f.textByFlag["operator-digest"] != "" {
		faults = append(faults, "--operator-token and --operator-digest: set only one of them")
	}
	faults = append(faults, s.findConflicts()...)
	if len(faults) > 0 {
		return Settings{}, &Error{Op: "serve", Kind: InvalidSettings, Faults: faults}
	}
	return s, nil
}

// findConflicts returns the faults of settings that are valid alone but contradict each other.
func (s Settings) findConflicts() []string {
	var faults []string
	flagByAddress := make(map[string]string)
	for _, listener := range []struct{ flag, address string }{
		{"--callers", s.CallerAddress}, {"--operators", s.OperatorAddress}, {"--peers", s.PeerAddress},
	} {
		if listener.address == "" {
			continue
		}
		if otherFlag, ok := flagByAddress[listener.address]; ok {
			faults = append(faults, otherFlag+" and "+listener.flag+": both listen on "+listener.address)
		}
		flagByAddress[listener.address] = listener.flag
	}
	if s.DrainTimeout > 0 && s.SettleDelay >= s.DrainTimeout {
		faults = append(faults, "--settle and --drain: settle must be shorter than drain")
	}
	return faults
}

// MarkdownTable returns the settings as a Markdown table for docs/OPERATIONS.md.
func (Settings) MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| flag | environment variable | unit | default | meaning |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, d := range settingDefinitions {
		defaultCell := "`" + d.defaultText + "`"
		switch {
		case d.isRequired:
			defaultCell = "required"
		case d.defaultText == "":
			defaultCell = "none"
		}
		b.WriteString("| `--" + d.flag + "` | `" + d.environmentVariable() + "` | " + d.unit + " | " + defaultCell + " | " + d.help + " |\n")
	}
	return b.String()
}
