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

// keysFresh is how long a loaded certificate is used before its file is looked
// at again.
const keysFresh = 10 * time.Second

// Keys holds the TLS files of a daemon and loads them anew when they change. It
// is safe for concurrent use.
type Keys struct {
	certificate string
	key         string
	pool        *x509.CertPool
	clock       clockwork.Clock

	mutex   sync.Mutex
	loaded  *tls.Certificate
	changed time.Time
	checked time.Time
}

// NewKeys loads the files. Without a certificate, TLS is off.
func NewKeys(certificate, key, authority string, clock clockwork.Clock) (*Keys, error) {
	k := &Keys{certificate: certificate, key: key, clock: clock}
	if certificate == "" {
		return k, nil
	}
	if authority != "" {
		pem, err := os.ReadFile(authority)
		if err != nil {
			return nil, merry.Prepend(err, "the authority cannot be read; correct [security] authority")
		}
		k.pool = x509.NewCertPool()
		if !k.pool.AppendCertsFromPEM(pem) {
			return nil, merry.Errorf("%s holds no certificate; correct [security] authority", authority)
		}
	}
	_, err := k.current(nil)
	return k, err
}

// current returns the certificate, loaded anew when its file has changed. A
// file that cannot be loaded leaves the old certificate in force.
func (k *Keys) current(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	if k.loaded != nil && now.Sub(k.checked) < keysFresh {
		return k.loaded, nil
	}
	k.checked = now
	info, err := os.Stat(k.certificate)
	if err == nil && k.loaded != nil && info.ModTime().Equal(k.changed) {
		return k.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	switch {
	case err == nil:
		k.loaded = &pair
		if info != nil {
			k.changed = info.ModTime()
		}
	case k.loaded == nil:
		return nil, merry.Prepend(err, "the certificate cannot be loaded; correct [security] certificate and key")
	}
	return k.loaded, nil
}

// Server returns the configuration of the listening side, or nil without TLS.
func (k *Keys) Server() *tls.Config {
	if k.certificate == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.current}
}

// Client returns the configuration of the dialling side, or nil without TLS.
func (k *Keys) Client() *tls.Config {
	if k.certificate == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: k.pool}
}

// Scheme returns https with TLS and http without.
func (k *Keys) Scheme() string {
	if k.certificate == "" {
		return "http"
	}
	return "https"
}

// HTTP returns a client for other entry hosts that dials within the bound and
// follows no redirect.
func (k *Keys) HTTP(dial time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dial}).DialContext,
			TLSClientConfig: k.Client(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
