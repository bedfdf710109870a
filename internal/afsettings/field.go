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

const environmentVariablePrefix = "ARBUTUSFORK_"

// settingDefinition defines one setting, which is read from a flag or from an environment variable.
type settingDefinition struct {
	flag        string // flag is the name of the flag without dashes.
	unit        string // unit is the kind of value, as the settings table and the help text show it.
	defaultText string // defaultText is the default as it would stand on the command line. Empty means no default.
	isRequired  bool
	help        string
	// parse validates the text and stores the value in s.
	parse func(s *Settings, text string) error
}

func (d settingDefinition) environmentVariable() string {
	return environmentVariablePrefix + strings.ToUpper(strings.ReplaceAll(d.flag, "-", "_"))
}

// formatNames returns the flag and the environment variable, as error messages show them.
func (d settingDefinition) formatNames() string {
	return "--" + d.flag + " (" + d.environmentVariable() + ")"
}

// placeholder returns the text that the help shows as the value of the flag.
func (d settingDefinition) placeholder() string {
	if d.defaultText != "" {
		return d.defaultText
	}
	return strings.ToUpper(d.unit)
}

// settingDefinitions holds the settings in the order of the help text and the settings table.
var settingDefinitions = []settingDefinition{
	{
		flag: "vm", unit: "name", isRequired: true, help: "Name of this VM in the platform's list.",
		parse: func(s *Settings, text string) error { return parseName(&s.VM, text) },
	},
	{
		flag: "centre", unit: "name", isRequired: true, help: "Data centre of this VM.",
		parse: func(s *Settings, text string) error { return parseName(&s.Centre, text) },
	},
	{
		flag: "callers", unit: "address", defaultText: "0.0.0.0:8080", help: "Listen address for callers.",
		parse: func(s *Settings, text string) error { return parseAddress(&s.CallerAddress, text) },
	},
	{
		flag: "operators", unit: "address", defaultText: "0.0.0.0:8081",
		help:  "Listen address for operators, metrics and health checks.",
		parse: func(s *Settings, text string) error { return parseAddress(&s.OperatorAddress, text) },
	},
	{
		flag: "peers", unit: "address", isRequired: true,
		help:  "Listen address for other VMs. They connect to it, so it names one IP address.",
		parse: parsePeerAddress,
	},
	{
		flag: "seeds", unit: "addresses", help: "Peer addresses to try at start, separated by commas.",
		parse: parseSeedAddresses,
	},
	{
		flag: "platform", unit: "URL", isRequired: true, help: "Base URL of the platform's object API.",
		parse: parsePlatformURL,
	},
	{
		flag: "operator-token", unit: "text", help: "Operator token in clear text. Process lists show flags: prefer the environment or the digest.",
		parse: parseOperatorToken,
	},
	{
		flag: "operator-digest", unit: "hex", help: "SHA-256 of the operator token, as printed by `arbutusfork token digest`.",
		parse: parseOperatorTokenDigest,
	},
	{
		flag: "log-level", unit: "level", defaultText: "info", help: "Lowest level that is logged: debug, info, warn or error.",
		parse: func(s *Settings, text string) error { return s.LogLevel.UnmarshalText([]byte(text)) },
	},
	{
		flag: "log-format", unit: "format", defaultText: "json", help: "Form of log lines: json or text.",
		parse: parseLogFormat,
	},
	{
		flag: "body", unit: "bytes", defaultText: "8MiB", help: "Largest request body.",
		parse: func(s *Settings, text string) error { return parseBytes(&s.MaxBodyBytes, text, 1<<10, 1<<30) },
	},
	{
		flag: "header", unit: "bytes", defaultText: "64KiB", help: "Largest request line and headers together.",
		parse: func(s *Settings, text string) error { return parseBytes(&s.MaxHeaderBytes, text, 1<<10, 1<<20) },
	},
	{
		flag: "connections", unit: "count", defaultText: "15000", help: "Most open connections of callers. Keep it below the descriptor limit.",
		parse: func(s *Settings, text string) error { return parseCount(&s.MaxConnections, text) },
	},
	{
		flag: "waiting", unit: "count", defaultText: "10000", help: "Most requests that wait for a replica on this VM.",
		parse: func(s *Settings, text string) error { return parseCount(&s.MaxWaitingRequests, text) },
	},
	{
		flag: "queue", unit: "bytes", defaultText: "256MiB", help: "Most bytes that waiting requests hold on this VM.",
		parse: func(s *Settings, text string) error {
			return parseBytes(&s.MaxWaitingBytes, text, 1<<20, math.MaxInt64)
		},
	},
	{
		flag: "idle", unit: "duration", defaultText: "120s", help: "Time after which a connection without a request is closed.",
		parse: func(s *Settings, text string) error { return parseDuration(&s.IdleTimeout, text) },
	},
	{
		flag: "receive", unit: "duration", defaultText: "30s", help: "Longest time from the first to the last byte of a request.",
		parse: func(s *Settings, text string) error { return parseDuration(&s.ReadTimeout, text) },
	},
	{
		flag: "progress", unit: "duration", defaultText: "30s", help: "Time without a byte from an endpoint after which a stream counts as silent.",
		parse: func(s *Settings, text string) error { return parseDuration(&s.StreamProgressTimeout, text) },
	},
	{
		flag: "call", unit: "duration", defaultText: "2s", help: "Longest time of one call to the platform.",
		parse: func(s *Settings, text string) error { return parseDuration(&s.PlatformCallTimeout, text) },
	},
	{
		flag: "settle", unit: "duration", defaultText: "5s", help: "Time between turning unready and refusing new connections, for the load balancer to notice.",
		parse: func(s *Settings, text string) error { return parseDuration(&s.SettleDelay, text) },
	},
	{
		flag: "drain", unit: "duration", defaultText: "120s", help: "Longest graceful shutdown.",
		parse: func(s *Settings, text string) error { return parseDuration(&s.DrainTimeout, text) },
	},
	{
		flag: "explain", unit: "bytes", defaultText: "4MiB", help: "Memory for recent decisions that `arbutusfork explain` shows.",
		parse: func(s *Settings, text string) error { return parseBytes(&s.MaxExplainBytes, text, 1<<10, 1<<30) },
	},
}

// namePattern matches the names that the platform accepts for its objects.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func parseName(p *string, text string) error {
	if !namePattern.MatchString(text) {
		return errors.Errorf("%q is not a name of lower-case letters, digits, dots and hyphens", text)
	}
	*p = text
	return nil
}

func parseAddress(p *string, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("%q is not an IP address and port", text)
	}
	*p = text
	return nil
}

func parsePeerAddress(s *Settings, text string) error {
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

func parseSeedAddresses(s *Settings, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		var address string
		if err := parseAddress(&address, strings.TrimSpace(part)); err != nil {
			return err
		}
		s.SeedAddresses = append(s.SeedAddresses, address)
	}
	return nil
}

func parsePlatformURL(s *Settings, text string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Errorf("%q is not an http or https URL", text)
	}
	s.PlatformURL = strings.TrimRight(text, "/")
	return nil
}

// minOperatorTokenBytes excludes short operator tokens, which are easy to guess.
const minOperatorTokenBytes = 16

func parseOperatorToken(s *Settings, text string) error {
	if len(text) < minOperatorTokenBytes {
		return errors.Errorf("shorter than %d bytes", minOperatorTokenBytes)
	}
	s.OperatorTokenDigest = arbutusfork.DigestSecret(text)
	return nil
}

func parseOperatorTokenDigest(s *Settings, text string) error {
	// A SHA-256 digest has 32 bytes.
	if b, err := hex.DecodeString(text); err != nil || len(b) != 32 {
		return errors.New("not 64 hexadecimal digits")
	}
	s.OperatorTokenDigest = strings.ToLower(text)
	return nil
}

func parseLogFormat(s *Settings, text string) error {
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

func parseCount(p *int, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return errors.Errorf("%q is not a number above zero", text)
	}
	*p = n
	return nil
}

func parseDuration(p *time.Duration, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return errors.Errorf("%q is not a duration above zero, such as 500ms or 30s", text)
	}
	*p = d
	return nil
}

// byteUnits are the accepted suffixes of sizes. The empty suffix matches every text, so it stands last.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

func parseBytes(p *int64, text string, minBytes, maxBytes int64) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			break
		}
		if n *= u.factor; n < minBytes || n > maxBytes {
			return errors.Errorf("%q is outside %d to %d bytes", text, minBytes, maxBytes)
		}
		*p = n
		return nil
	}
	return errors.Errorf("%q is not a size such as 65536, 64KiB or 8MiB", text)
}
