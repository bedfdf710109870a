// Package afsettings reads the settings of the daemon from flags and environment variables.
package afsettings

import (
	"log/slog"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Settings are the validated settings of one VM.
type Settings struct {
	// VM is the VM's name in the platform's list.
	VM string
	// Centre is the VM's data centre.
	Centre string
	// CallerAddress, OperatorAddress and PeerAddress are listen addresses, each an IP address and port. PeerAddress is also the address
	// that other VMs connect to.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// SeedAddresses are peer addresses to try before the platform's list is known.
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
	// MaxQueueBytes bounds the bytes that waiting requests hold on this VM.
	MaxQueueBytes int64
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// ReceiveTimeout bounds the time from the first to the last byte of a request.
	ReceiveTimeout time.Duration
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

// FlagValues holds the raw text of the flags until they are validated together.
type FlagValues struct {
	values map[string]*string
}

// DefineFlags defines the settings as flags of cmd. The values yield the settings after parsing.
func DefineFlags(cmd *kingpin.CmdClause) *FlagValues {
	f := &FlagValues{values: make(map[string]*string)}
	for _, d := range fields {
		flag := cmd.Flag(d.flag, d.help).Envar(d.environment())
		if d.fallback != "" {
			flag = flag.Default(d.fallback)
		}
		f.values[d.flag] = flag.PlaceHolder(d.placeholder()).String()
	}
	return f
}

// ParseSettings validates the parsed flags. The error is an *Error that lists every fault.
func (f *FlagValues) ParseSettings() (Settings, error) {
	var (
		s      Settings
		faults []string
	)
	for _, d := range fields {
		text := strings.TrimSpace(*f.values[d.flag])
		if text == "" {
			if d.required {
				faults = append(faults, d.title()+": required")
			}
			continue
		}
		if err := d.set(&s, text); err != nil {
			faults = append(faults, d.title()+": "+err.Error())
		}
	}
	if *f.values["operator-token"] == "" && *f.values["operator-digest"] == "" {
		faults = append(faults, "--operator-token or --operator-digest: one of them is required")
	}
	if *f.values["operator-token"] != "" && *f.values["operator-digest"] != "" {
		faults = append(faults, "--operator-token and --operator-digest: set only one of them")
	}
	faults = append(faults, s.conflicts()...)
	if len(faults) > 0 {
		return Settings{}, &Error{Op: "serve", Kind: InvalidSettings, Faults: faults}
	}
	return s, nil
}

// conflicts returns the faults that concern several settings.
func (s Settings) conflicts() []string {
	var faults []string
	seen := make(map[string]string)
	for _, l := range []struct{ flag, address string }{
		{"--callers", s.CallerAddress}, {"--operators", s.OperatorAddress}, {"--peers", s.PeerAddress},
	} {
		if l.address == "" {
			continue
		}
		if other, ok := seen[l.address]; ok {
			faults = append(faults, other+" and "+l.flag+": both listen on "+l.address)
		}
		seen[l.address] = l.flag
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
	for _, d := range fields {
		fallback := "`" + d.fallback + "`"
		switch {
		case d.required:
			fallback = "required"
		case d.fallback == "":
			fallback = "none"
		}
		b.WriteString("| `--" + d.flag + "` | `" + d.environment() + "` | " + d.unit + " | " + fallback + " | " + d.help + " |\n")
	}
	return b.String()
}
