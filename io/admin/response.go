package admin

import (
	"encoding/json"
	"errors"
	"net/http"

	"pomelofork/core/conf"
)

// httpStatuses maps each answer to the HTTP status of its response.
var httpStatuses = map[conf.Answer]int{
	conf.AnswerAccepted:    http.StatusOK,
	conf.AnswerConflicting: http.StatusConflict,
	conf.AnswerRefused:     http.StatusUnprocessableEntity,
	conf.AnswerUnavailable: http.StatusServiceUnavailable,
	conf.AnswerNotKnown:    http.StatusGatewayTimeout,
}

// resultMessages are the messages of the answers that are errors.
var resultMessages = map[conf.Answer]string{
	conf.AnswerConflicting: "another change came first; this one did not and will not take effect",
	conf.AnswerRefused:     "the change is faulty and did not take effect",
	conf.AnswerUnavailable: "the store could not be reached; this try changed nothing",
	conf.AnswerNotKnown:    "the change may have taken effect; send it again under the same identifier to know",
}

// writeChangeResult writes the response to a change.
func writeChangeResult(w http.ResponseWriter, id string, result conf.Result) {
	answer := result.Answer()
	if answer == conf.AnswerAccepted {
		writeJSON(w, http.StatusOK, Accepted{ID: id, Answer: answer.String(), Version: result.Version()})
		return
	}
	writeError(w, httpStatuses[answer], ErrorDetail{
		Code: answer.String(), Message: resultMessages[answer], Version: result.Version(), Faults: faultMessages(result.Fault()),
	})
}

// faultMessages returns the faults that err lists, or one fault with the text of err if it
// is no *conf.FaultsError. It returns nil for a nil error.
func faultMessages(err error) []FaultMessage {
	if err == nil {
		return nil
	}
	faults := new(conf.FaultsError)
	if !errors.As(err, &faults) {
		return []FaultMessage{{Text: err.Error()}}
	}
	var list []FaultMessage
	for _, fault := range faults.Faults() {
		list = append(list, FaultMessage{Place: fault.Place(), Text: fault.Text()})
	}
	return list
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, status int, detail ErrorDetail) {
	writeJSON(w, status, ErrorResponse{Error: detail})
}

// writeJSON writes a response with a JSON body. It ignores errors of writing, which mean
// that the client has closed the connection.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
