package shallotrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 1 << 30

// Client sends requests to the entry hosts. Set its fields before the first call.
// It is safe for concurrent use.
type Client struct {
	// Address is the base URL of an entry host or of a load balancer in front of
	// the entry hosts, such as "http://127.0.0.1:7100".
	Address string
	// Token is the client's bearer token.
	Token string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Tickets requests a block of count tickets, from 1 to 1000. It returns an *Error
// if the host refuses the request.
func (c *Client) Tickets(ctx context.Context, count int) (Grant, error) {
	var grant Grant
	body, err := json.Marshal(struct {
		Count int `json:"count"`
	}{count})
	if err != nil {
		return grant, err
	}
	data, status, err := c.sendRequest(ctx, http.MethodPost, "/v1/tickets", body)
	if err != nil {
		return grant, err
	}
	if status != http.StatusOK {
		return grant, responseError(data, status)
	}
	return grant, json.Unmarshal(data, &grant)
}

// Submit submits a job and waits for its answer. The outcome of the answer says
// whether the job was completed; a job that was not completed is not an error. An
// error means that no answer was received: the job may have run. Submit it again
// under the same ticket to learn its outcome.
func (c *Client) Submit(ctx context.Context, job Job) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, err
	}
	return c.decodeAnswer(c.sendRequest(ctx, http.MethodPost, "/v1/jobs", body))
}

// Cancel cancels a job. The answer says whether any of its tasks ran.
func (c *Client) Cancel(ctx context.Context, ticket string) (Answer, error) {
	return c.decodeAnswer(c.sendRequest(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(ticket), nil))
}

// State returns the progress of a job, with its answer if the job is final.
func (c *Client) State(ctx context.Context, ticket string) (State, error) {
	var state State
	data, status, err := c.sendRequest(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(ticket), nil)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return state, responseError(data, status)
	}
	return state, nil
}

// decodeAnswer decodes an Answer.
func (c *Client) decodeAnswer(data []byte, status int, err error) (Answer, error) {
	var answer Answer
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(data, &answer); err != nil || answer.Outcome == "" {
		return answer, Errorf(Unknown, "the host returned status %d without an outcome; submit the same ticket again", status)
	}
	return answer, nil
}

// sendRequest sends a request and returns the body and status of the response.
func (c *Client) sendRequest(ctx context.Context, method, path string, body []byte) ([]byte, int, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return data, response.StatusCode, err
}

// responseError returns the Error that a response describes, or an Error with the
// HTTP status if the response describes none.
func responseError(data []byte, status int) error {
	var answer Answer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Reason == "" {
		return Errorf(Unknown, "the host returned status %d; check the address", status)
	}
	return &Error{Reason: answer.Reason, Message: answer.Message, After: answer.After.Std()}
}
