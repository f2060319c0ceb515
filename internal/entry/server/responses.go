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

// writeError responds with the code and message of the error.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	failure := asFailure(err)
	var errs decoder.FieldErrors
	errors.As(err, &errs)
	message := failure.Message
	if len(errs) > 0 {
		message += ": " + strings.ReplaceAll(errs.Error(), "\n", "; ")
	}
	s.writeRefusal(w, failure.Code, failure.Ran, message, errs)
}

// asFailure returns the error as a Failure. One without a code becomes
// CodeInternal, with an unknown outcome.
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

// writeRefusal responds with the JSON form of a refusal and the usual HTTP
// status of its code.
func (s *Server) writeRefusal(w http.ResponseWriter, code primrosespar.Code, ran primrosespar.Ran, message string, errs []decoder.FieldError) {
	info := code.Info()
	status := info.HTTP
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("X-Result-Code", strconv.Itoa(int(code)))
	writeJSON(w, status, caller.Refusal{Code: code, Name: info.Name, Message: message, Ran: ran, RequestID: requestID(w), FieldErrors: errs})
}

// writeRefusalWithStatus responds with a refusal and a status that is not the
// usual one of its code.
func (s *Server) writeRefusalWithStatus(w http.ResponseWriter, status int, failure *primrosespar.Failure) {
	w.Header().Set("X-Result-Code", strconv.Itoa(int(failure.Code)))
	writeJSON(w, status, caller.Refusal{Code: failure.Code, Name: failure.Code.String(), Message: failure.Message, Ran: failure.Ran, RequestID: requestID(w)})
}

// requestID returns the request id, which withRequestLimits has put into the
// response header.
func requestID(w http.ResponseWriter) primrosespar.RequestID {
	return primrosespar.RequestID(w.Header().Get(caller.HeaderRequestID))
}

// readBody reads the whole body. Nothing runs before the body is complete, so a
// truncated one is refused as not run.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	var failure *primrosespar.Failure
	if errors.As(err, &failure) {
		return nil, failure
	}
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "the body was cut off after %d bytes", len(body)).WithCause(err)
	}
	return body, err
}

// writeJSON responds with the value as JSON. It ignores write errors, which
// mean that the caller has closed the connection.
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

// readJSON decodes the body into the target. Unknown fields and trailing data
// are errors, so that a misspelt field is not ignored.
func readJSON(r *http.Request, target any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return jsonError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return primrosespar.Fail(primrosespar.CodeBadSyntax, "the body has data after its JSON document")
	}
	return nil
}

// jsonTypeName returns the JSON name of a Go type for error messages.
func jsonTypeName(t reflect.Type) string {
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

// jsonError converts a decoding error to a Failure that names the field.
func jsonError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "field %q is a %s, it must be %s", wrongType.Field, wrongType.Value, jsonTypeName(wrongType.Type))
	}
	const unknownFieldPrefix = "json: unknown field "
	if text := err.Error(); len(text) > len(unknownFieldPrefix) && text[:len(unknownFieldPrefix)] == unknownFieldPrefix {
		return primrosespar.Fail(primrosespar.CodeUnknownField, "field %s does not exist", text[len(unknownFieldPrefix):])
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return primrosespar.Fail(primrosespar.CodeBadSyntax, "the body is not a JSON document: %s", err.Error())
	}
	return primrosespar.Fail(primrosespar.CodeBadRequest, "%s", err.Error())
}
