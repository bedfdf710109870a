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
	// Callers, Operators and Peers are listen addresses, each an IP address and port. Peers is also the address
	// that other VMs connect to.
	Callers   string
	Operators string
	Peers     string
	// Seeds are peer addresses to try before the platform's list is known.
	Seeds []string
	// Platform is the base URL of the object API, without a trailing slash.
	Platform string
	// Digest is the hexadecimal SHA-256 of the operator token.
	Digest string
	// Level is the lowest level that is logged.
	Level slog.Level
	// JSON selects JSON log lines instead of text.
	JSON bool
	// Body bounds a request body, in bytes.
	Body int64
	// Header bounds the request line and headers together, in bytes.
	Header int64
	// Connections bounds the callers' open connections.
	Connections int
	// Waiting bounds the requests that wait for a replica on this VM.
	Waiting int
	// Queue bounds the bytes that waiting requests hold on this VM.
	Queue int64
	// Idle is the time after which a connection without a request is closed.
	Idle time.Duration
	// Receive bounds the time from the first to the last byte of a request.
	Receive time.Duration
	// Progress is the time without a byte from an endpoint after which a stream counts as silent.
	Progress time.Duration
	// Call bounds one call to the platform.
	Call time.Duration
	// Settle is the time between turning unready and refusing new connections, for the load balancer to notice.
	Settle time.Duration
	// Drain bounds the graceful shutdown.
	Drain time.Duration
	// Explain bounds the memory of the explain record, in bytes.
	Explain int64
}

// Form holds the raw text of the flags until they are validated together.
type Form struct {
	values map[string]*string
}

// Flags defines the settings as flags of cmd. The form yields the settings after parsing.
func Flags(cmd *kingpin.CmdClause) *Form {
	f := &Form{values: make(map[string]*string)}
	for _, d := range fields {
		flag := cmd.Flag(d.flag, d.help).Envar(d.environment())
		if d.fallback != "" {
			flag = flag.Default(d.fallback)
		}
		f.values[d.flag] = flag.PlaceHolder(d.placeholder()).String()
	}
	return f
}

// Settings validates the parsed flags. The error is an *Error that lists every fault.
func (f *Form) Settings() (Settings, error) {
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
		return Settings{}, &Error{Op: "serve", Kind: Invalid, Faults: faults}
	}
	return s, nil
}

// conflicts returns the faults that concern several settings.
func (s Settings) conflicts() []string {
	var faults []string
	seen := make(map[string]string)
	for _, l := range []struct{ flag, address string }{
		{"--callers", s.Callers}, {"--operators", s.Operators}, {"--peers", s.Peers},
	} {
		if l.address == "" {
			continue
		}
		if other, ok := seen[l.address]; ok {
			faults = append(faults, other+" and "+l.flag+": both listen on "+l.address)
		}
		seen[l.address] = l.flag
	}
	if s.Drain > 0 && s.Settle >= s.Drain {
		faults = append(faults, "--settle and --drain: settle must be shorter than drain")
	}
	return faults
}

// Describe returns the settings as a Markdown table for docs/OPERATIONS.md.
func (Settings) Describe() string {
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
