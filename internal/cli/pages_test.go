package cli

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/telemetry"
)

func get(t *testing.T, h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func TestMetricsPages(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.accepted", reg).Inc(3)
	metrics.GetOrRegisterGaugeFloat64("load", reg).Update(0.5)
	metrics.GetOrRegisterHistogram("wait-ms", reg, metrics.NewUniformSample(10)).Update(7)
	h := (&AdminPages{Metrics: reg}).Handler()

	_, text := get(t, h, "/metrics")
	require.Equal(t, `# TYPE buckthornpick_load gauge
buckthornpick_load 0.5
# TYPE buckthornpick_requests_accepted counter
buckthornpick_requests_accepted 3
# TYPE buckthornpick_wait_ms summary
buckthornpick_wait_ms{quantile="0.5"} 7
buckthornpick_wait_ms{quantile="0.95"} 7
buckthornpick_wait_ms{quantile="0.99"} 7
buckthornpick_wait_ms_count 1
`, text)
	_, text = get(t, h, "/metrics.json")
	require.Contains(t, text, `"requests.accepted":{"count":3}`)
}

func TestReadinessReportsReason(t *testing.T) {
	readyErr := errors.New("no document yet")
	h := (&AdminPages{Metrics: metrics.NewRegistry(), Ready: func() error { return readyErr }}).Handler()
	code, text := get(t, h, "/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, text, "no document yet")
	readyErr = nil
	code, _ = get(t, h, "/readyz")
	require.Equal(t, http.StatusOK, code)
	code, _ = get(t, h, "/debug/pprof/")
	require.Equal(t, http.StatusNotFound, code)
}

func TestAdminServerFinishesRunningRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	a, err := ListenAdmin(netx.TCP{}, "127.0.0.1:0", nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "whole")
	}), telemetry.Discard())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	body := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + a.Address())
		if err != nil {
			body <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		body <- string(text)
	}()
	<-started
	cancel()
	close(release)
	require.NoError(t, <-done)
	require.Equal(t, "whole", <-body)
}

func writeCertificate(t *testing.T, files config.TLSSettings, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(path, kind string, data []byte) {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		stamp := time.Unix(serial, 0)
		require.NoError(t, os.Chtimes(path, stamp, stamp))
	}
	write(files.CertFile, "CERTIFICATE", der)
	write(files.KeyFile, "EC PRIVATE KEY", keyDER)
}

func TestCertificateReloadKeepsOldOnError(t *testing.T) {
	dir := t.TempDir()
	files := config.TLSSettings{CertFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem")}
	synctest.Test(t, func(t *testing.T) {
		writeCertificate(t, files, 1)
		conf, err := ServerTLS(files, telemetry.Discard())
		require.NoError(t, err)
		serial := func() int64 {
			c, err := conf.GetCertificate(nil)
			require.NoError(t, err)
			leaf, err := x509.ParseCertificate(c.Certificate[0])
			require.NoError(t, err)
			return leaf.SerialNumber.Int64()
		}
		require.EqualValues(t, 1, serial())
		writeCertificate(t, files, 2)
		require.EqualValues(t, 1, serial(), "files are checked at most once per interval")
		time.Sleep(certificateCheckInterval)
		require.EqualValues(t, 2, serial())
		require.NoError(t, os.WriteFile(files.CertFile, []byte("x"), 0o600))
		time.Sleep(certificateCheckInterval)
		require.EqualValues(t, 2, serial())
	})
}
