package cli

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/telemetry"
)

// certificateCheckInterval is the minimum time between two checks of the
// certificate files for changes.
const certificateCheckInterval = 5 * time.Second

// certificateReloader serves a certificate loaded from files and reloads it when
// the files change.
type certificateReloader struct {
	files config.TLSSettings
	log   *telemetry.Logger

	// mu guards the fields below.
	mu          sync.Mutex
	current     *tls.Certificate
	loadedStamp fileStamp
	checkedAt   time.Time
}

// fileStamp identifies a version of the two files by modification time and size.
type fileStamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// ServerTLS returns the TLS configuration of a listener, nil if TLS is not
// enabled. It fails if the files cannot be loaded; if a later reload fails, the
// old certificate stays in use.
func ServerTLS(files config.TLSSettings, log *telemetry.Logger) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	c := &certificateReloader{files: files, log: log}
	if err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.getCertificate}, nil
}

func (c *certificateReloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= certificateCheckInterval {
		c.checkedAt = now
		c.reloadIfChanged()
	}
	return c.current, nil
}

// reloadIfChanged reloads the certificate if its files have changed; c.mu is
// held.
func (c *certificateReloader) reloadIfChanged() {
	stamp, err := c.statFiles()
	if err == nil && stamp == c.loadedStamp {
		return
	}
	if err == nil {
		err = c.load()
	}
	if err != nil {
		c.log.Log(EvCertificateFailed, "file", c.files.CertFile, "err", err)
		return
	}
	c.log.Log(EvCertificateReloaded, "file", c.files.CertFile)
}

func (c *certificateReloader) load() error {
	stamp, err := c.statFiles()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "tls.load", "", "cannot load certificate %s", c.files.CertFile)
	}
	c.current, c.loadedStamp = &pair, stamp
	return nil
}

func (c *certificateReloader) statFiles() (fileStamp, error) {
	cert, err := os.Stat(c.files.CertFile)
	if err != nil {
		return fileStamp{}, fault.Wrap(err, fault.Invalid, "tls.load", "", "cannot read certificate")
	}
	key, err := os.Stat(c.files.KeyFile)
	if err != nil {
		return fileStamp{}, fault.Wrap(err, fault.Invalid, "tls.load", "", "cannot read private key")
	}
	return fileStamp{
		certTime: cert.ModTime(), keyTime: key.ModTime(),
		certSize: cert.Size(), keySize: key.Size(),
	}, nil
}
