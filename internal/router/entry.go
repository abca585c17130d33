package router

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

// Bounds of a usable entry.
const (
	// maxNameBytes bounds IDs and names, as the platform's store bounds keys.
	maxNameBytes = 200
	// MaxLabelBytes is the maximum length of a target's label.
	MaxLabelBytes = 200
	// maxLabels bounds the labels of a target, which are its kind, its rack and what its
	// operators add.
	maxLabels = 16
	// maxCPU is the capacity of 8,192 processors, the most that Linux supports, in thousandths
	// of a core.
	maxCPU = 8192 * 1000
	// maxMemory is what 52 bits of a physical address reach, in MB.
	maxMemory = 1 << 32
	// maxGPU is the number of functions on the PCI buses of one segment.
	maxGPU = 1 << 16
	// maxStartedAt is the end of the year 9999, the last that RFC 3339 can write, in Unix
	// milliseconds.
	maxStartedAt = 253_402_300_799_999
	// maxColdLeft bounds the time for which a target is slow after a start or an evacuation.
	maxColdLeft = 24 * time.Hour
)

// maxCapacity is the largest capacity of a target. A task that needs more fits nowhere, so that
// sums of capacities and needs do not exceed the range of an int.
var maxCapacity = Resources{CPU: maxCPU, Memory: maxMemory, GPU: maxGPU}

// EntryError reports that an entry of the directory has a value that no usable target has.
type EntryError struct{ Field, Value string }

// Error implements error.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s of the target is %s; correct or remove its entry", e.Field, e.Value)
}

// Check returns an *EntryError if no usable target has the entry.
func (t *Target) Check() error {
	for _, text := range []struct{ field, value string }{{"the ID", t.ID}, {"the service", t.Service}, {"the zone", t.Zone}} {
		if !isName(text.value) {
			return &EntryError{text.field, fmt.Sprintf("%.40q", text.value)}
		}
	}
	if !isReachableAddress(t.Address) {
		return &EntryError{"the address", fmt.Sprintf("%.40q", t.Address)}
	}
	if c := t.Capacity; min(c.CPU, c.Memory, c.GPU) < 0 || !maxCapacity.Fits(c) {
		return &EntryError{"the capacity", fmt.Sprintf("%+v", c)}
	}
	if t.StartedAt < 0 || t.StartedAt > maxStartedAt {
		return &EntryError{"the start time", fmt.Sprint(t.StartedAt)}
	}
	if t.ColdLeft < 0 || t.ColdLeft > maxColdLeft {
		return &EntryError{"the cold time", t.ColdLeft.String()}
	}
	if len(t.Labels) > maxLabels {
		return &EntryError{"the number of labels", fmt.Sprint(len(t.Labels))}
	}
	for _, label := range t.Labels {
		if len(label) > MaxLabelBytes {
			return &EntryError{"a label", fmt.Sprintf("%.40q", label)}
		}
	}
	return nil
}

// isName reports whether a text can name something in headers and logs.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, unicode.IsControl)
}

// isReachableAddress reports whether a text is the IP address and port of one process. Host names
// are not resolved.
func isReachableAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	ip := address.Addr()
	return err == nil && address.Port() > 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}
