// Package storer is the client of the platform's transactional table and of its
// list of hosts.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// Record is a row of the table. Version 0 means that there is no row.
type Record struct {
	Version uint64
	Value   []byte
}

// Kind tells how an exchange with the platform ended.
type Kind string

const (
	// Conflict means that the row has another version than expected.
	Conflict Kind = "conflict"
	// Unavailable means that there was no answer. A write may have taken effect.
	Unavailable Kind = "unavailable"
	// Unchanged means that the version is the one already known.
	Unchanged Kind = "unchanged"
)

// Error is a failed exchange with the platform.
type Error struct {
	Kind    Kind
	Message string
}

// Error returns the kind and the message.
func (e *Error) Error() string { return fmt.Sprintf("platform %s: %s", e.Kind, e.Message) }

// Client reads and writes the platform. Its fields are set before use. It is
// safe for concurrent use.
type Client struct {
	// Address is the host and port of the platform's service.
	Address string
	// HTTP makes the requests; its Timeout bounds each.
	HTTP *http.Client
}

// Row is the key of the row that holds the declarations and the preset.
const Row = "shallotrouter"

// maxValue bounds what is read from the platform, in bytes.
const maxValue = 8 << 20

// NewClient returns a client with the given bound on each request.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{Address: address, HTTP: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Read returns a row. It returns an Error of kind Unchanged when the row's
// version is the known one, and a Record of version 0 when there is no row.
func (c *Client) Read(ctx context.Context, key string, known uint64) (Record, error) {
	header := http.Header{}
	if known > 0 {
		header.Set("If-None-Match", strconv.FormatUint(known, 10))
	}
	return c.exchange(ctx, http.MethodGet, "/table/"+url.PathEscape(key), nil, header)
}

// Swap writes a row if its version is still the expected one; 0 expects no row.
// It returns the new version, or an Error of kind Conflict or Unavailable.
func (c *Client) Swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	header := http.Header{}
	header.Set("If-Match", strconv.FormatUint(expected, 10))
	record, err := c.exchange(ctx, http.MethodPut, "/table/"+url.PathEscape(key), value, header)
	return record.Version, err
}

// Hosts returns the platform's list of the zone's hosts. It returns an Error of
// kind Unchanged when the list's version is the known one.
func (c *Client) Hosts(ctx context.Context, zone string, known uint64) (scheduler.Directory, error) {
	var d scheduler.Directory
	header := http.Header{}
	if known > 0 {
		header.Set("If-None-Match", strconv.FormatUint(known, 10))
	}
	record, err := c.exchange(ctx, http.MethodGet, "/hosts?zone="+url.QueryEscape(zone), nil, header)
	if err != nil {
		return d, err
	}
	if err := json.Unmarshal(record.Value, &d); err != nil {
		return d, &Error{Kind: Unavailable, Message: "the host list is not readable: " + err.Error()}
	}
	return d, nil
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte, header http.Header) (Record, error) {
	var record Record
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return record, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return record, &Error{Kind: Unavailable, Message: err.Error()}
	}
	defer response.Body.Close()
	record.Value, err = io.ReadAll(io.LimitReader(response.Body, maxValue))
	if err != nil {
		return record, &Error{Kind: Unavailable, Message: err.Error()}
	}
	return record, record.judge(response)
}

// judge reads the version and turns the status into an error.
func (r *Record) judge(response *http.Response) error {
	version, err := strconv.ParseUint(response.Header.Get("Version"), 10, 64)
	r.Version = version
	switch response.StatusCode {
	case http.StatusOK:
		if err != nil {
			return &Error{Kind: Unavailable, Message: "the answer has no version"}
		}
		return nil
	case http.StatusNotFound:
		r.Value = nil
		return nil
	case http.StatusNotModified:
		return &Error{Kind: Unchanged, Message: "the version is the known one"}
	case http.StatusPreconditionFailed:
		return &Error{Kind: Conflict, Message: fmt.Sprintf("the row has version %d", version)}
	}
	return &Error{Kind: Unavailable, Message: response.Status}
}
