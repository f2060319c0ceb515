package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/document/decoder"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// refuse answers with the error's code.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	failure := asFailure(err)
	var faults decoder.FieldErrors
	errors.As(err, &faults)
	message := failure.Message
	if len(faults) > 0 {
		message += ": " + strings.ReplaceAll(faults.Error(), "\n", "; ")
	}
	s.refusal(w, failure.Code, failure.Ran, message, faults)
}

// asFailure gives every error a code.
func asFailure(err error) *primrosespar.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return primrosespar.Fail(primrosespar.CodeBodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	var failure *primrosespar.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return primrosespar.FailUnknown(primrosespar.CodeInternal, "%s", err.Error())
}

// refusal writes the JSON form of a code.
func (s *Server) refusal(w http.ResponseWriter, code primrosespar.Code, ran primrosespar.Ran, message string, faults []decoder.FieldError) {
	info := code.Info()
	status := info.HTTP
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("X-Result-Code", strconv.Itoa(int(code)))
	writeJSON(w, status, caller.Refusal{Code: code, Name: info.Name, Message: message, Ran: ran, RequestID: requestID(w), Faults: faults})
}

// refusalWith refuses with a status that is not the code's usual one.
func (s *Server) refusalWith(w http.ResponseWriter, status int, f *primrosespar.Failure) {
	w.Header().Set("X-Result-Code", strconv.Itoa(int(f.Code)))
	writeJSON(w, status, caller.Refusal{Code: f.Code, Name: f.Code.String(), Message: f.Message, Ran: f.Ran, RequestID: requestID(w)})
}

// requestID returns the id that the request got before it was looked at.
func requestID(w http.ResponseWriter) primrosespar.RequestID {
	return primrosespar.RequestID(w.Header().Get(caller.HeaderRequestID))
}

// readBody reads the whole body. Nothing runs before that, so a body that
// breaks off is refused as not run.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "the body broke off after %d bytes", len(body)).WithCause(err)
	}
	return body, err
}

// writeJSON writes a value; a caller that left is not an error.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// readJSON decodes a body strictly: unknown fields and trailing data are
// errors, so a misspelt field is never ignored.
func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badJSON(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return primrosespar.Fail(primrosespar.CodeBadSyntax, "the body has data after its JSON document")
	}
	return nil
}

// jsonType names the JSON type of a Go type.
func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	default:
		return "a number"
	}
}

// badJSON names the field that a decoding error is about.
func badJSON(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "field %q is a %s, it must be %s", wrongType.Field, wrongType.Value, jsonType(wrongType.Type))
	}
	const unknown = "json: unknown field "
	if text := err.Error(); len(text) > len(unknown) && text[:len(unknown)] == unknown {
		return primrosespar.Fail(primrosespar.CodeUnknownField, "field %s does not exist", text[len(unknown):])
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return primrosespar.Fail(primrosespar.CodeBadSyntax, "the body is not a JSON document: %s", err.Error())
	}
	return primrosespar.Fail(primrosespar.CodeBadRequest, "%s", err.Error())
}
