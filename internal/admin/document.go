package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/fault"
)

const (
	defaultHistoryLimit = 20
	retryAfterSeconds   = "2"
)

func (a *API) getDocument(w http.ResponseWriter, _ *http.Request) {
	current, ok := a.cfg.Document.Current()
	if !ok {
		writeError(w, http.StatusNotFound, ErrorAnswer{Type: TypeNotFound, Message: "this node has no document yet"})
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(current.Revision, 10)))
	writeJSON(w, http.StatusOK, current.Document)
}

func (a *API) putDocument(w http.ResponseWriter, r *http.Request) {
	change, ok := a.readChange(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.cfg.ProposeTimeout)
	defer cancel()
	result, err := a.cfg.Document.Propose(ctx, change)
	if err != nil {
		writeProposeError(w, change, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(result.Revision, 10)))
	writeJSON(w, http.StatusOK, ChangeAnswer{Revision: result.Revision, OperationID: change.OperationID})
}

// readChange reads a proposed document and the headers of the change. If the
// request is invalid, it writes the error response and returns false.
func (a *API) readChange(w http.ResponseWriter, r *http.Request) (change confstore.Change, ok bool) {
	expected, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || expected < 0 {
		writeError(w, http.StatusPreconditionRequired, ErrorAnswer{Type: TypeInvalid,
			Message: "expected the header If-Match with the revision that the change is based on (0 for the first)"})
		return change, false
	}
	change = confstore.Change{
		Expected: expected, OperationID: r.Header.Get(HeaderOperationID), Author: r.Header.Get(HeaderAuthor),
	}
	if change.OperationID == "" {
		writeError(w, http.StatusBadRequest, ErrorAnswer{Type: TypeInvalid,
			Message: "expected the header " + HeaderOperationID + " with an ID of the change"})
		return change, false
	}
	doc, ok := readBody[config.Document](w, r)
	change.Document = &doc
	return change, ok
}

func writeProposeError(w http.ResponseWriter, change confstore.Change, err error) {
	var problems config.Problems
	var conflict *confstore.ConflictError
	switch {
	case errors.As(err, &problems):
		writeError(w, http.StatusUnprocessableEntity, ErrorAnswer{Type: TypeInvalid,
			Message: "the document has faults", Problems: problems})
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, ErrorAnswer{Type: TypeConflict, Message: err.Error(),
			Revision: conflict.Revision(), Diff: config.Diff(conflict.Current, change.Document)})
	case fault.Is(err, fault.Invalid):
		writeError(w, http.StatusUnprocessableEntity, ErrorAnswer{Type: TypeInvalid, Message: err.Error()})
	case fault.Is(err, fault.Unavailable):
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, ErrorAnswer{Type: TypeUnavailable, Message: err.Error(),
			OperationID: change.OperationID})
	default:
		writeError(w, http.StatusGatewayTimeout, ErrorAnswer{Type: TypeOutcomeUnknown, Message: err.Error(),
			OperationID: change.OperationID})
	}
}

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeError(w, http.StatusBadRequest, ErrorAnswer{Type: TypeInvalid, Message: "limit: expected a number of 1 or more"})
			return
		}
		limit = n
	}
	entries, err := a.cfg.Document.History(r.Context(), limit)
	if err != nil {
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, ErrorAnswer{Type: TypeUnavailable, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, HistoryAnswer{Entries: entries})
}

// readBody decodes a request body of limited size and refuses unknown fields. If
// the body is invalid, it writes the error response and returns false.
func readBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var zero T
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxFileBytes))
	if err != nil {
		status := http.StatusBadRequest
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, ErrorAnswer{Type: TypeInvalid, Message: err.Error()})
		return zero, false
	}
	v, err := config.Decode[T]("body", data)
	if err != nil {
		answer := ErrorAnswer{Type: TypeInvalid, Message: "the body has faults"}
		if !errors.As(err, &answer.Problems) {
			answer.Message = err.Error()
		}
		writeError(w, http.StatusUnprocessableEntity, answer)
		return zero, false
	}
	return v, true
}
