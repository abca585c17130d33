package faker

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// WriteKeyPair writes a self-signed certificate for 127.0.0.1, valid for an hour, and its
// private key to a folder. It returns the paths of both files.
func WriteKeyPair(dir string, serial int64) (certificate, key string, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificateData, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		return "", "", err
	}
	keyData, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return "", "", err
	}
	certificate, key = filepath.Join(dir, "host.pem"), filepath.Join(dir, "host.key")
	if err := writePEM(certificate, "CERTIFICATE", certificateData); err != nil {
		return "", "", err
	}
	return certificate, key, writePEM(key, "PRIVATE KEY", keyData)
}

// writePEM writes a PEM block to a file that only its owner can read.
func writePEM(path, kind string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}
