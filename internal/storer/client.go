// Package storer implements the client of the platform's transactional table and of its
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

// Record is a row of the table. Version 0 means that the row does not exist.
type Record struct {
	Version uint64
	Value   []byte
}

// ErrorKind is the kind of an Error.
type ErrorKind string

const (
	// Conflict means that the row does not have the expected version.
	Conflict ErrorKind = "conflict"
	// Unavailable means that there was no valid answer. A write may have taken effect.
	Unavailable ErrorKind = "unavailable"
	// Unchanged means that the version is still the known one.
	Unchanged ErrorKind = "unchanged"
)

// Error is the error of a request that returned no row or list.
type Error struct {
	Kind    ErrorKind
	Message string
}

// Error returns the kind and the message as one text.
func (e *Error) Error() string { return fmt.Sprintf("platform %s: %s", e.Kind, e.Message) }

// Client sends requests to the platform. Its fields are set before use. It is safe for
// concurrent use.
type Client struct {
	// Address is the host and port of the platform.
	Address string
	// HTTP is the client for the requests. Its Timeout applies to each request.
	HTTP *http.Client
}

// ConfigKey is the key of the row that holds the declarations and the active preset.
const ConfigKey = "shallotrouter"

// maxValueBytes limits how much of an answer from the platform is read.
const maxValueBytes = 8 << 20

// NewClient returns a client with the given timeout for each request.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{Address: address, HTTP: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Read returns a row. It returns an Error of kind Unchanged if the row still has the known
// version, and a Record of version 0 if the row does not exist. A known version of 0 means
// that no version is known.
func (c *Client) Read(ctx context.Context, key string, known uint64) (Record, error) {
	header := http.Header{}
	if known > 0 {
		header.Set("If-None-Match", strconv.FormatUint(known, 10))
	}
	return c.exchange(ctx, http.MethodGet, "/table/"+url.PathEscape(key), nil, header)
}

// Swap writes a row if it still has the expected version. An expected version of 0 means
// that the row must not exist. Swap returns the new version, or an Error of kind Conflict
// or Unavailable.
func (c *Client) Swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	header := http.Header{}
	header.Set("If-Match", strconv.FormatUint(expected, 10))
	record, err := c.exchange(ctx, http.MethodPut, "/table/"+url.PathEscape(key), value, header)
	return record.Version, err
}

// ReadDirectory returns the platform's list of the hosts in the zone. It returns an Error of
// kind Unchanged if the list still has the known version.
func (c *Client) ReadDirectory(ctx context.Context, zone string, known uint64) (scheduler.Directory, error) {
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
		return d, &Error{Kind: Unavailable, Message: "failed to decode the host list: " + err.Error()}
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
	record.Value, err = io.ReadAll(io.LimitReader(response.Body, maxValueBytes))
	if err != nil {
		return record, &Error{Kind: Unavailable, Message: err.Error()}
	}
	return record, record.readStatus(response)
}

// readStatus sets the version from the response's header and returns an error according
// to the status code.
func (r *Record) readStatus(response *http.Response) error {
	version, err := strconv.ParseUint(response.Header.Get("Version"), 10, 64)
	r.Version = version
	switch response.StatusCode {
	case http.StatusOK:
		if err != nil {
			return &Error{Kind: Unavailable, Message: "the answer has no valid Version header"}
		}
		return nil
	case http.StatusNotFound:
		r.Value = nil
		return nil
	case http.StatusNotModified:
		return &Error{Kind: Unchanged, Message: "the version has not changed"}
	case http.StatusPreconditionFailed:
		return &Error{Kind: Conflict, Message: fmt.Sprintf("the row has version %d", version)}
	}
	return &Error{Kind: Unavailable, Message: response.Status}
}
