// Package certs provides TLS settings with certificates from files. It reads the files
// again when they change, so that a renewed certificate needs no restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two checks whether the files have changed.
const checkInterval = time.Second

// Config holds the settings of a Source.
type Config struct {
	// CertFile is the name of the file with the certificate chain, in PEM form.
	CertFile string
	// KeyFile is the name of the file with the private key, in PEM form.
	KeyFile string
	// CAFile is the name of the file with the CA certificates that the peers' certificates
	// are verified against, in PEM form. It may be empty if only ServerConfig is used.
	CAFile string
	// Now returns the current time.
	Now func() time.Time
}

// Source provides one certificate with its key, and the CA certificates to verify peers
// with. It is safe for concurrent use.
type Source struct {
	config Config
	mu     sync.Mutex
	// checkedAt is the time of the last check whether the files have changed.
	checkedAt time.Time
	// modTimes are the modification times of the files that are in use.
	modTimes [3]time.Time
	cert     *tls.Certificate
	roots    *x509.CertPool
	lastErr  error
}

// NewSource reads the files. If one of them is missing or invalid, the error contains its
// name.
func NewSource(c Config) (*Source, error) {
	s := &Source{config: c}
	if err := s.readFiles(); err != nil {
		return nil, err
	}
	s.modTimes = s.statFiles()
	s.checkedAt = c.Now()
	return s, nil
}

// LastError returns the error of the last attempt to read changed files, or nil if it
// succeeded. After an error, the certificates that were read before stay in use.
func (s *Source) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// statFiles returns the modification times of the files. A file that is missing or not
// configured has the zero time.
func (s *Source) statFiles() [3]time.Time {
	var modTimes [3]time.Time
	for i, name := range []string{s.config.CertFile, s.config.KeyFile, s.config.CAFile} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// readFiles reads all files. On an error it keeps the certificates of the previous call.
func (s *Source) readFiles() error {
	cert, err := tls.LoadX509KeyPair(s.config.CertFile, s.config.KeyFile)
	if err != nil {
		return fmt.Errorf("read certificate %s with key %s: %w", s.config.CertFile, s.config.KeyFile, err)
	}
	var roots *x509.CertPool
	if s.config.CAFile != "" {
		text, err := os.ReadFile(s.config.CAFile)
		if err != nil {
			return fmt.Errorf("read CA certificates: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return fmt.Errorf("read CA certificates: %s contains no valid certificate", s.config.CAFile)
		}
	}
	s.cert, s.roots = &cert, roots
	return nil
}

// current returns the certificate and the CA certificates in use. If the last check was
// at least checkInterval ago, it checks the files first.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.checkedAt) < checkInterval {
		return s.cert, s.roots
	}
	s.checkedAt = now
	if modTimes := s.statFiles(); modTimes != s.modTimes {
		// Files that are being replaced may be incomplete, or the key may not match the
		// certificate yet. modTimes then stays as it is, so that the next check tries again.
		if s.lastErr = s.readFiles(); s.lastErr == nil {
			s.modTimes = modTimes
		}
	}
	return s.cert, s.roots
}

// ServerConfig returns settings for a server that callers connect to. It presents the
// certificate and asks callers for none.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// FleetConfig returns settings for connections between instances, for both clients and
// servers. Each side must present a certificate that a CA of CAFile has signed. The names
// in certificates are not verified, because instances know each other only by IP address.
func (s *Source) FleetConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// VerifyConnection replaces the default verification, which requires a matching
		// name and whose CA certificates can't change while the settings are in use.
		InsecureSkipVerify: true, // #nosec G402
		VerifyConnection:   s.verifyPeer,
	}
}

// verifyPeer verifies the certificate chain of the peer against the CA certificates in use.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	_, roots := s.current()
	if roots == nil || len(state.PeerCertificates) == 0 {
		return fmt.Errorf("verify peer: no CA certificates are configured or the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: s.config.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
