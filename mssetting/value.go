package mssetting

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"marjoramspan/msrule"
)

// Units of sizes, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// Ranges of the settings.
const (
	// MaxDuration is the longest of all durations.
	MaxDuration = 24 * time.Hour
	// MaxSize is the largest of all sizes, in bytes.
	MaxSize = gibibyte
	// MaxCount is the largest of all counts.
	MaxCount = 1_000_000
)

var levels = []string{"debug", "info", "warn", "error"}

// name returns the value of a name, made of the characters of rules' names.
func name(field func(*Settings) *string) value {
	return value{
		set: func(s *Settings, text string) (reason, want string) {
			*field(s) = text
			if text != "" && !msrule.IsValidName(text) {
				return fmt.Sprintf("%q is no name", text), fmt.Sprintf("want up to %d letters, digits, - _ or . after a letter or digit", msrule.MaxNameLength)
			}
			return "", ""
		},
		text: func(s *Settings) string { return *field(s) },
	}
}

// address returns the value of an IP:port.
func address(field func(*Settings) *string) value {
	return value{
		set: func(s *Settings, text string) (reason, want string) {
			a, err := netip.ParseAddrPort(text)
			if text != "" && (err != nil || a.Port() == 0) {
				return fmt.Sprintf("%q is no address", text), "want IP:port, as in 10.0.0.7:8080, with a port of 1 to 65535"
			}
			*field(s) = text
			return "", ""
		},
		text: func(s *Settings) string { return *field(s) },
	}
}

// duration returns the value of a time of more than 0.
func duration(field func(*Settings) *time.Duration) value {
	return value{
		set: func(s *Settings, text string) (reason, want string) {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Sprintf("%q is no duration", text), "want a number with its unit, as in 10s or 500ms"
			}
			if d <= 0 || d > MaxDuration {
				return fmt.Sprintf("%s is out of range", text), fmt.Sprintf("want more than 0s, up to %s", MaxDuration)
			}
			*field(s) = d
			return "", ""
		},
		text: func(s *Settings) string { return field(s).String() },
	}
}

// count returns the value of a whole number of 1 or more.
func count(field func(*Settings) *int) value {
	return value{
		set: func(s *Settings, text string) (reason, want string) {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Sprintf("%q is no number", text), "want a whole number"
			}
			if n < 1 || n > MaxCount {
				return fmt.Sprintf("%d is out of range", n), fmt.Sprintf("want 1 to %d", MaxCount)
			}
			*field(s) = n
			return "", ""
		},
		text: func(s *Settings) string { return strconv.Itoa(*field(s)) },
	}
}

// size returns the value of a number of bytes.
func size(field func(*Settings) *int64) value {
	return value{
		set: func(s *Settings, text string) (reason, want string) {
			n, ok := parseSize(text)
			if !ok {
				return fmt.Sprintf("%q is no size", text), "want a whole number of B, KiB, MiB or GiB, as in 64MiB"
			}
			if n < 1 || n > MaxSize {
				return fmt.Sprintf("%s is out of range", text), fmt.Sprintf("want 1B to %s", formatSize(MaxSize))
			}
			*field(s) = n
			return "", ""
		},
		text: func(s *Settings) string { return formatSize(*field(s)) },
	}
}

// level returns the value of a level of logging.
func level(field func(*Settings) *string) value {
	return value{
		set: func(s *Settings, text string) (reason, want string) {
			if !slices.Contains(levels, text) {
				return fmt.Sprintf("%q is no level", text), "want one of " + strings.Join(levels, ", ")
			}
			*field(s) = text
			return "", ""
		},
		text: func(s *Settings) string { return *field(s) },
	}
}

// sizeUnit is a unit of sizes and its number of bytes.
type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits are the units from the largest. B comes last, since it ends them all.
var sizeUnits = []sizeUnit{{"GiB", gibibyte}, {"MiB", mebibyte}, {"KiB", kibibyte}, {"B", 1}}

// parseSize returns the bytes of a size, or one that is out of range where it
// is far too large.
func parseSize(text string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		n = min(max(n, -1), MaxSize+1)
		return n * u.bytes, err == nil
	}
	return 0, false
}

// formatSize returns a size in its largest whole unit.
func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.name
		}
	}
	return ""
}
