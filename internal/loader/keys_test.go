package loader

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/faker"
)

// writePair writes a certificate and its key to dir and returns their paths.
func writePair(t *testing.T, dir string, serial int64) (certificate, key string) {
	certificate, key, err := faker.WriteKeyPair(dir, serial)
	require.NoError(t, err)
	return certificate, key
}

// TestChangedCertificateIsReloaded replaces the certificate file of a running server,
// which must use the new one, then overwrites it with an invalid one, which must be
// ignored.
func TestChangedCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	certificate, key := writePair(t, dir, 1)
	clock := clockwork.NewFakeClockAt(time.Now())
	keys, err := LoadCertificate(certificate, key, certificate, clock)
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Listener = tls.NewListener(server.Listener, keys.ServerConfig())
	server.Start()
	defer server.Close()
	serial := func() int64 {
		c, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	assert.Equal(t, int64(1), serial())
	writePair(t, dir, 2)
	require.NoError(t, os.Chtimes(certificate, time.Now(), time.Now().Add(time.Minute)))
	clock.Advance(certificateCheckInterval + time.Second)
	assert.Equal(t, int64(2), serial())
	require.NoError(t, os.WriteFile(certificate, []byte("broken"), 0o600))
	clock.Advance(certificateCheckInterval + time.Second)
	assert.Equal(t, int64(2), serial(), "an invalid file leaves the old certificate in use")
}

// TestClientVerifiesCertificates requires that a client accepts only servers whose
// certificate its authority has signed, and that a missing certificate file is an error.
func TestClientVerifiesCertificates(t *testing.T) {
	certificate, key := writePair(t, t.TempDir(), 1)
	keys, err := LoadCertificate(certificate, key, certificate, clockwork.NewRealClock())
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Listener = tls.NewListener(server.Listener, keys.ServerConfig())
	server.Start()
	defer server.Close()
	response, err := keys.HTTPClient(time.Second).Get("https://" + server.Listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	other, otherKey := writePair(t, t.TempDir(), 2)
	otherKeys, err := LoadCertificate(other, otherKey, other, clockwork.NewRealClock())
	require.NoError(t, err)
	_, err = otherKeys.HTTPClient(time.Second).Get("https://" + server.Listener.Addr().String())
	assert.Error(t, err)
	_, err = LoadCertificate(filepath.Join(t.TempDir(), "none"), key, "", clockwork.NewRealClock())
	assert.ErrorContains(t, err, "correct [security] certificate and key")
}
