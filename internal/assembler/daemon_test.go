package assembler_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/stager"
)

// TestHostsServeAndForwardOverTLS: two hosts use TLS between each other and towards
// clients. A job that is submitted to one host with the other's ticket is forwarded and
// completes, and plain HTTP is rejected.
func TestHostsServeAndForwardOverTLS(t *testing.T) {
	certificate, key, err := faker.WriteKeyPair(t.TempDir(), 1)
	require.NoError(t, err)
	s := &stager.Deployment{
		Zones: []string{"z"}, Hosts: []int{2}, Targets: 1, Slots: 2, Clients: []string{"comites"}, Log: logr.Discard(),
		ExtraSettings: fmt.Sprintf("certificate = %s\nkey = %s\nauthority = %s\n", certificate, key, certificate),
	}
	require.NoError(t, s.Start(t.Context()), "the hosts must connect to each other")
	defer s.Close()
	pem, err := os.ReadFile(certificate)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(pem))
	web := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	caller := func(n *stager.Node) *shallotrouter.Client {
		return &shallotrouter.Client{Address: "https://" + n.Address, Token: "comites-token", HTTP: web}
	}
	grant, err := caller(s.Nodes[0]).Tickets(t.Context(), 1)
	require.NoError(t, err)
	job := shallotrouter.Job{
		Ticket: grant.Tickets[0], Service: stager.Service, Deadline: shallotrouter.Duration(5 * time.Second),
		Tasks: []shallotrouter.Task{{Kind: "k", Payload: []byte("x")}},
	}
	a, err := caller(s.Nodes[1]).Submit(t.Context(), job)
	require.NoError(t, err)
	assert.Equal(t, shallotrouter.Complete, a.Outcome, a.Message)
	assert.Equal(t, s.Nodes[0].Name, a.Host)
	response, err := http.Get("http://" + s.Nodes[0].Address + "/healthz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusBadRequest, response.StatusCode, "plain HTTP must be rejected")
}
