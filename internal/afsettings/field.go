package afsettings

import (
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

const environmentPrefix = "ARBUTUSFORK_"

// field defines one setting.
type field struct {
	flag     string
	unit     string
	fallback string
	required bool
	help     string
	set      func(s *Settings, text string) error
}

func (d field) environment() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(d.flag, "-", "_"))
}

func (d field) title() string { return "--" + d.flag + " (" + d.environment() + ")" }

func (d field) placeholder() string {
	if d.fallback != "" {
		return d.fallback
	}
	return strings.ToUpper(d.unit)
}

var fields = []field{
	{
		flag: "vm", unit: "name", required: true, help: "Name of this VM in the platform's list.",
		set: func(s *Settings, text string) error { return setName(&s.VM, text) },
	},
	{
		flag: "centre", unit: "name", required: true, help: "Data centre of this VM.",
		set: func(s *Settings, text string) error { return setName(&s.Centre, text) },
	},
	{
		flag: "callers", unit: "address", fallback: "0.0.0.0:8080", help: "Listen address for callers.",
		set: func(s *Settings, text string) error { return setAddress(&s.CallerAddress, text) },
	},
	{
		flag: "operators", unit: "address", fallback: "0.0.0.0:8081",
		help: "Listen address for operators, metrics and health checks.",
		set:  func(s *Settings, text string) error { return setAddress(&s.OperatorAddress, text) },
	},
	{
		flag: "peers", unit: "address", required: true,
		help: "Listen address for other VMs. They connect to it, so it names one IP address.",
		set:  setPeers,
	},
	{
		flag: "seeds", unit: "addresses", help: "Peer addresses to try at start, separated by commas.",
		set: setSeeds,
	},
	{
		flag: "platform", unit: "URL", required: true, help: "Base URL of the platform's object API.",
		set: setPlatform,
	},
	{
		flag: "operator-token", unit: "text", help: "Operator token in clear text. Process lists show flags: prefer the environment or the digest.",
		set: setToken,
	},
	{
		flag: "operator-digest", unit: "hex", help: "SHA-256 of the operator token, as printed by `arbutusfork token digest`.",
		set: setDigest,
	},
	{
		flag: "log-level", unit: "level", fallback: "info", help: "Lowest level that is logged: debug, info, warn or error.",
		set: func(s *Settings, text string) error { return s.LogLevel.UnmarshalText([]byte(text)) },
	},
	{
		flag: "log-format", unit: "format", fallback: "json", help: "Form of log lines: json or text.",
		set: setFormat,
	},
	{
		flag: "body", unit: "bytes", fallback: "8MiB", help: "Largest request body.",
		set: func(s *Settings, text string) error { return setBytes(&s.MaxBodyBytes, text, 1<<10, 1<<30) },
	},
	{
		flag: "header", unit: "bytes", fallback: "64KiB", help: "Largest request line and headers together.",
		set: func(s *Settings, text string) error { return setBytes(&s.MaxHeaderBytes, text, 1<<10, 1<<20) },
	},
	{
		flag: "connections", unit: "count", fallback: "15000", help: "Most open connections of callers. Keep it below the descriptor limit.",
		set: func(s *Settings, text string) error { return setCount(&s.MaxConnections, text) },
	},
	{
		flag: "waiting", unit: "count", fallback: "10000", help: "Most requests that wait for a replica on this VM.",
		set: func(s *Settings, text string) error { return setCount(&s.MaxWaitingRequests, text) },
	},
	{
		flag: "queue", unit: "bytes", fallback: "256MiB", help: "Most bytes that waiting requests hold on this VM.",
		set: func(s *Settings, text string) error { return setBytes(&s.MaxQueueBytes, text, 1<<20, math.MaxInt64) },
	},
	{
		flag: "idle", unit: "duration", fallback: "120s", help: "Time after which a connection without a request is closed.",
		set: func(s *Settings, text string) error { return setDuration(&s.IdleTimeout, text) },
	},
	{
		flag: "receive", unit: "duration", fallback: "30s", help: "Longest time from the first to the last byte of a request.",
		set: func(s *Settings, text string) error { return setDuration(&s.ReceiveTimeout, text) },
	},
	{
		flag: "progress", unit: "duration", fallback: "30s", help: "Time without a byte from an endpoint after which a stream counts as silent.",
		set: func(s *Settings, text string) error { return setDuration(&s.StreamProgressTimeout, text) },
	},
	{
		flag: "call", unit: "duration", fallback: "2s", help: "Longest time of one call to the platform.",
		set: func(s *Settings, text string) error { return setDuration(&s.PlatformCallTimeout, text) },
	},
	{
		flag: "settle", unit: "duration", fallback: "5s", help: "Time between turning unready and refusing new connections, for the load balancer to notice.",
		set: func(s *Settings, text string) error { return setDuration(&s.SettleDelay, text) },
	},
	{
		flag: "drain", unit: "duration", fallback: "120s", help: "Longest graceful shutdown.",
		set: func(s *Settings, text string) error { return setDuration(&s.DrainTimeout, text) },
	},
	{
		flag: "explain", unit: "bytes", fallback: "4MiB", help: "Memory for recent decisions that `arbutusfork explain` shows.",
		set: func(s *Settings, text string) error { return setBytes(&s.MaxExplainBytes, text, 1<<10, 1<<30) },
	},
}

// nameForm accepts what the platform accepts in object names.
var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func setName(p *string, text string) error {
	if !nameForm.MatchString(text) {
		return errors.Errorf("%q is not a name of lower-case letters, digits, dots and hyphens", text)
	}
	*p = text
	return nil
}

func setAddress(p *string, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("%q is not an IP address and port", text)
	}
	*p = text
	return nil
}

func setPeers(s *Settings, text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Errorf("%q is not an IP address and port", text)
	}
	if a.Addr().IsUnspecified() {
		return errors.Errorf("%q does not name one IP address that other VMs can reach", text)
	}
	s.PeerAddress = text
	return nil
}

func setSeeds(s *Settings, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		var address string
		if err := setAddress(&address, strings.TrimSpace(part)); err != nil {
			return err
		}
		s.SeedAddresses = append(s.SeedAddresses, address)
	}
	return nil
}

func setPlatform(s *Settings, text string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Errorf("%q is not an http or https URL", text)
	}
	s.PlatformURL = strings.TrimRight(text, "/")
	return nil
}

const minTokenBytes = 16

func setToken(s *Settings, text string) error {
	if len(text) < minTokenBytes {
		return errors.Errorf("shorter than %d bytes", minTokenBytes)
	}
	s.OperatorTokenDigest = arbutusfork.DigestSecret(text)
	return nil
}

func setDigest(s *Settings, text string) error {
	// The length is that of a SHA-256 sum.
	if b, err := hex.DecodeString(text); err != nil || len(b) != 32 {
		return errors.New("not 64 hexadecimal digits")
	}
	s.OperatorTokenDigest = strings.ToLower(text)
	return nil
}

func setFormat(s *Settings, text string) error {
	switch text {
	case "json":
		s.LogsJSON = true
	case "text":
		s.LogsJSON = false
	default:
		return errors.Errorf("%q is neither json nor text", text)
	}
	return nil
}

func setCount(p *int, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return errors.Errorf("%q is not a number above zero", text)
	}
	*p = n
	return nil
}

func setDuration(p *time.Duration, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return errors.Errorf("%q is not a duration above zero, such as 500ms or 30s", text)
	}
	*p = d
	return nil
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

func setBytes(p *int64, text string, low, high int64) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			break
		}
		if n *= u.factor; n < low || n > high {
			return errors.Errorf("%q is outside %d to %d bytes", text, low, high)
		}
		*p = n
		return nil
	}
	return errors.Errorf("%q is not a size such as 65536, 64KiB or 8MiB", text)
}
