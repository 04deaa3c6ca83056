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

// Size units, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// Upper bounds of the settings.
const (
	// MaxDuration is the upper bound of every duration setting.
	MaxDuration = 24 * time.Hour
	// MaxSize is the upper bound of every size setting, in bytes.
	MaxSize = gibibyte
	// MaxCount is the upper bound of every count setting.
	MaxCount = 1_000_000
)

var levels = []string{"debug", "info", "warn", "error"}

// name returns the codec of a name, which follows the syntax of names in rules or
// is empty.
func name(field func(*Settings) *string) codec {
	return codec{
		parse: func(s *Settings, text string) (reason, want string) {
			*field(s) = text
			if text != "" && !msrule.IsValidName(text) {
				return fmt.Sprintf("%q is no name", text), fmt.Sprintf("want up to %d letters, digits, - _ or . after a letter or digit", msrule.MaxNameLength)
			}
			return "", ""
		},
		format: func(s *Settings) string { return *field(s) },
	}
}

// address returns the codec of an IP:port address with a port above 0. An empty
// address is accepted.
func address(field func(*Settings) *string) codec {
	return codec{
		parse: func(s *Settings, text string) (reason, want string) {
			a, err := netip.ParseAddrPort(text)
			if text != "" && (err != nil || a.Port() == 0) {
				return fmt.Sprintf("%q is no address", text), "want IP:port, as in 10.0.0.7:8080, with a port of 1 to 65535"
			}
			*field(s) = text
			return "", ""
		},
		format: func(s *Settings) string { return *field(s) },
	}
}

// duration returns the codec of a duration above 0, up to MaxDuration.
func duration(field func(*Settings) *time.Duration) codec {
	return codec{
		parse: func(s *Settings, text string) (reason, want string) {
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
		format: func(s *Settings) string { return field(s).String() },
	}
}

// count returns the codec of an integer from 1 to MaxCount.
func count(field func(*Settings) *int) codec {
	return codec{
		parse: func(s *Settings, text string) (reason, want string) {
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
		format: func(s *Settings) string { return strconv.Itoa(*field(s)) },
	}
}

// size returns the codec of a size from 1 byte to MaxSize.
func size(field func(*Settings) *int64) codec {
	return codec{
		parse: func(s *Settings, text string) (reason, want string) {
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
		format: func(s *Settings) string { return formatSize(*field(s)) },
	}
}

// level returns the codec of a log level.
func level(field func(*Settings) *string) codec {
	return codec{
		parse: func(s *Settings, text string) (reason, want string) {
			if !slices.Contains(levels, text) {
				return fmt.Sprintf("%q is no level", text), "want one of " + strings.Join(levels, ", ")
			}
			*field(s) = text
			return "", ""
		},
		format: func(s *Settings) string { return *field(s) },
	}
}

// sizeUnit is a size suffix and its number of bytes.
type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits lists the units from largest to smallest. B must be last because it is
// a suffix of all others.
var sizeUnits = []sizeUnit{{"GiB", gibibyte}, {"MiB", mebibyte}, {"KiB", kibibyte}, {"B", 1}}

// parseSize parses a size into bytes. The number is clamped to just outside the
// valid range before the unit is applied, so that the product can't overflow and
// an excessive size is still out of range.
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

// formatSize formats a size in the largest unit that divides it evenly.
func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.name
		}
	}
	return ""
}
