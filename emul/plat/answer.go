package plat

import (
	"encoding/json"
	"errors"
	"net/http"

	"pomelofork/io/store"
)

// maxBodyBytes is the maximum size of a request body. It leaves room for a value of the
// maximum size in which every byte is escaped.
const maxBodyBytes = 8 * store.MaxValueBytes

// decodeBody decodes the body of a request into target. If the body is malformed or has an
// unknown field, it sends an error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

// writeResult writes the value, or the error in the form of the platform's protocol.
func writeResult(w http.ResponseWriter, value any, err error) {
	conflict, malformed := new(store.ConflictError), new(store.RequestError)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, value)
	case errors.Is(err, store.ErrNotFound):
		writeError(w, http.StatusNotFound, "not_found", "no such key or lease")
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, store.SwapResponse{Revision: conflict.Revision()})
	case errors.As(err, &malformed):
		writeError(w, malformed.Status(), "bad_request", malformed.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, "unavailable", "out of service")
	}
}

// writeError writes an error in the form of the platform's protocol.
func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, store.ErrorResponse{Error: store.ErrorDetail{Code: code, Message: message}})
}

// writeJSON writes an answer with a JSON body. It ignores write errors, as they mean that
// the client has closed the connection.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
