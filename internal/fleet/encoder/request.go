package encoder

import (
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// JobRequest encodes a request for a job, which is stored in the inbox.
func (e *Encoder) JobRequest(request primrosespar.JobRequest) ([]byte, error) {
	data, err := e.encoder.Marshal(request)
	return data, eris.Wrap(err, "encode job request")
}

// ParseJobRequest decodes a request for a job with the ID. An earlier release
// stores the ID alone.
func (e *Encoder) ParseJobRequest(id primrosespar.JobID, data []byte) (primrosespar.JobRequest, error) {
	request := primrosespar.JobRequest{Job: id}
	if string(data) == string(id) {
		return request, nil
	}
	if err := e.decoder.Unmarshal(data, &request); err != nil {
		return request, eris.Wrap(err, "decode job request")
	}
	if request.Job != id {
		return request, eris.Errorf("the request names job %q", request.Job)
	}
	return request, nil
}
