package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/where"
)

// Client calls the operators' API of one or more entries.
type Client struct {
	settings config.ControlSettings
	token    string
	http     *http.Client
}

// NewClient returns a client for the entries in settings. It fails if the token
// or the CA file cannot be read.
func NewClient(settings config.ControlSettings) (*Client, error) {
	token, err := config.LoadSecret(settings.Token, settings.TokenFile)
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if settings.CAFile != "" {
		pem, err := os.ReadFile(settings.CAFile)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "admin.client", "", "cannot read caFile")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fault.New(fault.Invalid, "admin.client", "", "caFile %s holds no certificate", settings.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Client{
		settings: settings, token: token,
		http: &http.Client{Transport: transport, Timeout: settings.Timeout.Std()},
	}, nil
}

// URLs returns the configured base URLs.
func (c *Client) URLs() []string { return c.settings.AdminURLs }

// APIError is an error response of the operators' API.
type APIError struct {
	URL    string
	Status int
	Answer ErrorAnswer
}

// Error implements error.
func (e *APIError) Error() string {
	if len(e.Answer.Problems) > 0 {
		return e.Answer.Message + "\n" + e.Answer.Problems.Error()
	}
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Answer.Message)
}

// Document returns the document in force at the first entry that responds.
func (c *Client) Document(ctx context.Context) (*config.Document, error) {
	return firstDefinite[config.Document](ctx, c, apiCall{method: http.MethodGet, path: PathDocument})
}

// Apply proposes a document. It fails over to the next entry if one cannot be
// reached or does not know the outcome; the operation ID makes the retry
// idempotent. The error is an *APIError, fault.Ambiguous if the change was sent
// to an entry and the response was lost, or fault.Unavailable if no entry could
// be reached.
func (c *Client) Apply(ctx context.Context, doc *config.Document, expected int64, operationID string) (*ChangeAnswer, error) {
	body, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	header.Set("If-Match", strconv.Quote(strconv.FormatInt(expected, 10)))
	header.Set(HeaderOperationID, operationID)
	header.Set(HeaderAuthor, c.settings.Author)
	return firstDefinite[ChangeAnswer](ctx, c, apiCall{method: http.MethodPut, path: PathDocument, body: body, header: header})
}

// Explain evaluates a sample request at the first entry that responds.
func (c *Client) Explain(ctx context.Context, sample ExplainRequest) (*ExplainAnswer, error) {
	body, err := json.Marshal(sample)
	if err != nil {
		return nil, err
	}
	return firstDefinite[ExplainAnswer](ctx, c, apiCall{method: http.MethodPost, path: PathExplain, body: body})
}

// Where asks the first relay that responds where it would send a request now.
func (c *Client) Where(ctx context.Context, question where.Request) (*where.Answer, error) {
	body, err := json.Marshal(question)
	if err != nil {
		return nil, err
	}
	return firstDefinite[where.Answer](ctx, c, apiCall{method: http.MethodPost, path: where.Path, body: body})
}

// History returns up to limit accepted changes, the latest first.
func (c *Client) History(ctx context.Context, limit int) (*HistoryAnswer, error) {
	return firstDefinite[HistoryAnswer](ctx, c, apiCall{method: http.MethodGet, path: PathHistory + "?limit=" + strconv.Itoa(limit)})
}

// Status returns the status of the entry at url.
func (c *Client) Status(ctx context.Context, url string) (*StatusAnswer, error) {
	return do[StatusAnswer](ctx, c, url, apiCall{method: http.MethodGet, path: PathStatus})
}

// Revision returns the revision in force at the entry at url.
func (c *Client) Revision(ctx context.Context, url string) (*RevisionAnswer, error) {
	return do[RevisionAnswer](ctx, c, url, apiCall{method: http.MethodGet, path: PathRevision})
}

// Drain starts to drain the entry at url.
func (c *Client) Drain(ctx context.Context, url string) (*RevisionAnswer, error) {
	return do[RevisionAnswer](ctx, c, url, apiCall{method: http.MethodPost, path: PathDrain})
}

// apiCall describes one request to the operators' API.
type apiCall struct {
	method, path string
	body         []byte
	header       http.Header
}

// firstDefinite makes a call to each entry in turn until one gives a definite
// response. If none does, it returns the error of a change whose outcome is
// unknown, if there is one, and else the last error.
func firstDefinite[T any](ctx context.Context, c *Client, call apiCall) (*T, error) {
	var unknown, last error
	for _, url := range c.settings.AdminURLs {
		answer, err := do[T](ctx, c, url, call)
		if err == nil {
			return answer, nil
		}
		if !shouldFailOver(err) {
			return nil, err
		}
		if call.method == http.MethodPut && mayHaveTakenEffect(err) {
			unknown = err
		}
		last = err
	}
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// shouldFailOver reports whether the next entry may give a better response than
// err. Status 404 is included, because an entry without a document responds with it.
func shouldFailOver(err error) bool {
	answer, ok := err.(*APIError)
	return !ok || answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusNotFound
}

// mayHaveTakenEffect reports whether a failed change may have taken effect.
func mayHaveTakenEffect(err error) bool {
	if answer, ok := err.(*APIError); ok {
		return answer.Status == http.StatusGatewayTimeout
	}
	return fault.Is(err, fault.Ambiguous)
}

// do makes a call to the entry at url and decodes the response.
func do[T any](ctx context.Context, c *Client, url string, call apiCall) (*T, error) {
	base := strings.TrimSuffix(url, "/")
	req, err := http.NewRequestWithContext(ctx, call.method, base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "admin.call", base, "invalid URL")
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, transportFault(err), "admin.call", base, "no response")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Ambiguous, "admin.call", base, "the response is incomplete")
	}
	return decodeAnswer[T](base, resp.StatusCode, data)
}

// transportFault returns the fault type of a call without a response:
// fault.Unavailable if the request was not sent, otherwise fault.Ambiguous.
func transportFault(err error) *errorx.Type {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Unavailable
	}
	return fault.Ambiguous
}

func decodeAnswer[T any](url string, status int, data []byte) (*T, error) {
	if status >= http.StatusBadRequest {
		failed := &APIError{URL: url, Status: status}
		if json.Unmarshal(data, &failed.Answer) != nil {
			failed.Answer.Message = strings.TrimSpace(string(data))
		}
		return nil, failed
	}
	var answer T
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "admin.call", url, "cannot decode the response")
	}
	return &answer, nil
}
