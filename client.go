package shallotrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
)

// maxResponse bounds a response in bytes.
const maxResponse = 1 << 30

// Client talks to the entry hosts. Its fields are set before use. It is safe
// for concurrent use.
type Client struct {
	// Address is the base URL of an entry host or of the balancer in front, such
	// as "http://127.0.0.1:7100".
	Address string
	// Token is the client's bearer token.
	Token string
	// HTTP makes the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Tickets takes a block of count tickets, from 1 to 1000. It returns an Error
// when the host refuses.
func (c *Client) Tickets(ctx context.Context, count int) (Grant, error) {
	var grant Grant
	body, err := json.Marshal(struct {
		Count int `json:"count"`
	}{count})
	if err != nil {
		return grant, err
	}
	data, code, err := c.exchange(ctx, http.MethodPost, "/v1/tickets", body)
	if err != nil {
		return grant, err
	}
	if code != http.StatusOK {
		return grant, refused(data, code)
	}
	return grant, json.Unmarshal(data, &grant)
}

// Submit runs a job and waits for its answer. A job that is not complete is no
// error: its outcome tells. An error means that no answer came; the job may have
// run, and submitting the same ticket again tells.
func (c *Client) Submit(ctx context.Context, job Job) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, err
	}
	return c.answer(c.exchange(ctx, http.MethodPost, "/v1/jobs", body))
}

// Cancel withdraws a job. The answer tells whether any of it ran.
func (c *Client) Cancel(ctx context.Context, ticket string) (Answer, error) {
	return c.answer(c.exchange(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(ticket), nil))
}

// State returns the progress of a job.
func (c *Client) State(ctx context.Context, ticket string) (State, error) {
	var state State
	data, code, err := c.exchange(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(ticket), nil)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return state, refused(data, code)
	}
	return state, nil
}

// answer decodes an Answer.
func (c *Client) answer(data []byte, code int, err error) (Answer, error) {
	var a Answer
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(data, &a); err != nil || a.Outcome == "" {
		return a, Errorf(Unknown, "the host answered status %d without an outcome; submit the same ticket again", code)
	}
	return a, nil
}

// exchange makes one request and returns the body and status of the response.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	return data, response.StatusCode, err
}

// refused turns a response that is not what was asked for into an Error.
func refused(data []byte, code int) error {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil || a.Reason == "" {
		return Errorf(Unknown, "the host answered status %d; check the address", code)
	}
	return &Error{Reason: a.Reason, Message: a.Message, After: a.After.Std()}
}
