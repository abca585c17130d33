package loader

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// certificateCheckInterval is how long a loaded certificate is used before its file is
// checked for changes.
const certificateCheckInterval = 10 * time.Second

// Certificate holds the TLS certificate of a daemon and reloads it when its file changes. It
// is safe for concurrent use.
type Certificate struct {
	certificatePath string
	keyPath         string
	rootCAs         *x509.CertPool
	clock           clockwork.Clock

	mutex      sync.Mutex
	loaded     *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

// LoadCertificate loads the PEM files at the given paths. TLS is off if certificatePath is empty.
// If authorityPath is empty, clients trust the system's root certificates.
func LoadCertificate(certificatePath, keyPath, authorityPath string, clock clockwork.Clock) (*Certificate, error) {
	k := &Certificate{certificatePath: certificatePath, keyPath: keyPath, clock: clock}
	if certificatePath == "" {
		return k, nil
	}
	if authorityPath != "" {
		pem, err := os.ReadFile(authorityPath)
		if err != nil {
			return nil, merry.Prepend(err, "the authority file cannot be read; correct [security] authority")
		}
		k.rootCAs = x509.NewCertPool()
		if !k.rootCAs.AppendCertsFromPEM(pem) {
			return nil, merry.Errorf("%s contains no certificate; correct [security] authority", authorityPath)
		}
	}
	_, err := k.currentCertificate(nil)
	return k, err
}

// currentCertificate returns the certificate and first reloads it if its file has
// changed. If the new file cannot be loaded, the old certificate stays in use.
func (k *Certificate) currentCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	if k.loaded != nil && now.Sub(k.checkedAt) < certificateCheckInterval {
		return k.loaded, nil
	}
	k.checkedAt = now
	info, err := os.Stat(k.certificatePath)
	if err == nil && k.loaded != nil && info.ModTime().Equal(k.modifiedAt) {
		return k.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificatePath, k.keyPath)
	switch {
	case err == nil:
		k.loaded = &pair
		if info != nil {
			k.modifiedAt = info.ModTime()
		}
	case k.loaded == nil:
		return nil, merry.Prepend(err, "the certificate cannot be loaded; correct [security] certificate and key")
	}
	return k.loaded, nil
}

// ServerConfig returns the TLS configuration of a server, or nil if TLS is off.
func (k *Certificate) ServerConfig() *tls.Config {
	if k.certificatePath == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.currentCertificate}
}

// ClientConfig returns the TLS configuration of a client, or nil if TLS is off.
func (k *Certificate) ClientConfig() *tls.Config {
	if k.certificatePath == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: k.rootCAs}
}

// Scheme returns the URL scheme: https if TLS is on, else http.
func (k *Certificate) Scheme() string {
	if k.certificatePath == "" {
		return "http"
	}
	return "https"
}

// HTTPClient returns a client for requests to other entry hosts. It does not follow
// redirects; dialTimeout limits the time to connect.
func (k *Certificate) HTTPClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig: k.ClientConfig(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
