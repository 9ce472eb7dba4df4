// Package refusal defines the typed errors with which requests are refused. Each states the cause, whether the request may
// have run, and the remedy.
package refusal

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilwell/chervilwell/internal/headers"
)

// Kind is the cause of a refusal, as written in HTTP answers, logs and metrics.
type Kind string

// Kinds of refusals.
const (
	BadRequest       Kind = "bad-request"
	NoUpgrade        Kind = "no-upgrade"
	NoOrganisation   Kind = "no-organisation"
	NoRoute          Kind = "no-route"
	WrongRegion      Kind = "wrong-region"
	BodyTooLarge     Kind = "body-too-large"
	RouteBusy        Kind = "route-busy"
	LinkBusy         Kind = "link-busy"
	NotReady         Kind = "not-ready"
	Leaving          Kind = "leaving"
	OutOfService     Kind = "out-of-service"
	NoTarget         Kind = "no-target"
	WrongTarget      Kind = "wrong-target"
	QueueFull        Kind = "queue-full"
	TooLate          Kind = "too-late"
	Timeout          Kind = "timeout"
	Cancelled        Kind = "cancelled"
	Unreachable      Kind = "unreachable"
	TargetDown       Kind = "target-down"
	InvalidResponse  Kind = "broken-answer"
	Quarantined      Kind = "quarantined"
	Suspected        Kind = "suspected"
	KeyInvalid       Kind = "key-invalid"
	KeyNotReady      Kind = "key-not-ready"
	KeyUndecided     Kind = "key-undecided"
	KeyHeldElsewhere Kind = "key-held-elsewhere"
	KeyRunning       Kind = "key-running"
	KeyUnknown       Kind = "key-unknown"
	PeerRefused      Kind = "peer-refused"
)

// StatusCancelled is the HTTP status recorded for a request whose caller has disconnected. It appears only in logs and metrics.
const StatusCancelled = 499

// kindInfo holds the HTTP status of a kind and the remedy given to the caller.
type kindInfo struct {
	status int
	remedy string
}

var kindInfos = map[Kind]kindInfo{
	BadRequest:       {http.StatusBadRequest, "send a request that follows RFC 9112: one Content-Length or one chunked Transfer-Encoding"},
	NoUpgrade:        {http.StatusNotImplemented, "send the request without CONNECT or Upgrade; only plain requests are carried"},
	NoOrganisation:   {http.StatusForbidden, "present a client certificate whose Organization is in the catalogue"},
	NoRoute:          {http.StatusNotFound, "check path and method against the catalogue's routes"},
	WrongRegion:      {http.StatusMisdirectedRequest, "send the request to an instance in one of the route's home regions"},
	BodyTooLarge:     {http.StatusRequestEntityTooLarge, "send a body within the route's bodyBytes"},
	RouteBusy:        {http.StatusTooManyRequests, "retry after a backoff, or raise the route's concurrency"},
	LinkBusy:         {http.StatusServiceUnavailable, "retry after a backoff; the organisation's share of the link between regions is used up"},
	NotReady:         {http.StatusServiceUnavailable, "retry at another instance; this one holds no configuration yet"},
	Leaving:          {http.StatusServiceUnavailable, "retry at another instance; this one is leaving"},
	OutOfService:     {http.StatusServiceUnavailable, "retry at another instance; operators took this one out of service"},
	NoTarget:         {http.StatusServiceUnavailable, "retry after a backoff; no target of the service can take the request now"},
	WrongTarget:      {http.StatusMisdirectedRequest, "retry; the instance runs another service than the list of instances says"},
	QueueFull:        {http.StatusServiceUnavailable, "retry after a backoff; the target's queue is full"},
	TooLate:          {http.StatusGatewayTimeout, "allow the request more time; it would have ended after its deadline"},
	Timeout:          {http.StatusGatewayTimeout, "allow the request more time, or check the target's latency"},
	Cancelled:        {StatusCancelled, "none; the caller cancelled the request"},
	Unreachable:      {http.StatusBadGateway, "retry if the request may be repeated; the connection to the target failed"},
	TargetDown:       {http.StatusServiceUnavailable, "retry at another instance; the target of this one takes no connections"},
	InvalidResponse:  {http.StatusBadGateway, "retry if the request may be repeated; the target's answer was cut or has no verifiable length"},
	Quarantined:      {http.StatusUnprocessableEntity, "do not send this request again; it crashed its targets"},
	Suspected:        {http.StatusServiceUnavailable, "retry; the request was in flight when a target crashed and runs at one instance only"},
	KeyNotReady:      {http.StatusServiceUnavailable, "resend with the same Idempotency-Key after a backoff"},
	KeyUndecided:     {http.StatusServiceUnavailable, "resend with the same Idempotency-Key; too few instances of the service could be asked"},
	KeyHeldElsewhere: {http.StatusConflict, "resend with the same Idempotency-Key; the instance that holds it answers"},
	KeyInvalid:       {http.StatusBadRequest, "send one Idempotency-Key of at most 255 bytes"},
	KeyRunning:       {http.StatusConflict, "wait for the first request with this Idempotency-Key to end"},
	KeyUnknown:       {http.StatusConflict, "ask the service whether the request ran; its executor's memory is gone"},
	PeerRefused:      {http.StatusForbidden, "connect with the certificate of an instance (CommonName instance, OrganizationalUnit failure domain)"},
}

// Statuses returns the HTTP status of every kind.
func Statuses() map[Kind]int {
	out := make(map[Kind]int, len(kindInfos))
	for kind, info := range kindInfos {
		out[kind] = info.status
	}
	return out
}

// Refusal is an error that can be written as an HTTP answer. Its JSON form is the body of that answer.
type Refusal struct {
	Kind Kind `json:"kind"`
	// RunState states whether the request may have run.
	RunState headers.RunState `json:"run"`
	// Detail describes the cause in this particular case.
	Detail string `json:"detail"`
	// Remedy describes what the caller can do.
	Remedy string `json:"remedy"`
	// Holder names the instance to which the request's idempotency key is bound, if it is another instance.
	Holder string `json:"holder,omitempty"`
	// RetryAfter is the time to wait before a retry; 0 means unspecified. It is sent as the Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a refusal of a request of which no byte was sent to a target. The format and args give its Detail.
func New(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, RunState: headers.NotRun, Detail: fmt.Sprintf(format, args...), Remedy: kindInfos[kind].remedy}
}

// Unknown returns a refusal of a request that may have run. The format and args give its Detail.
func Unknown(kind Kind, format string, args ...any) *Refusal {
	r := New(kind, format, args...)
	r.RunState = headers.Unknown
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", r.Kind, r.RunState, r.Detail, r.Remedy)
}

// Status returns the HTTP status of the refusal; 502 for an unknown kind, which a newer peer may send.
func (r *Refusal) Status() int {
	if info, ok := kindInfos[r.Kind]; ok {
		return info.status
	}
	return http.StatusBadGateway
}

// Write writes the refusal as the answer to a request.
func (r *Refusal) Write(w http.ResponseWriter) {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(headers.Run, string(r.RunState))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(body)
}

// maxBodyBytes limits the body of a refusal read from a peer.
const maxBodyBytes = 16 << 10

// FromResponse reads a refusal from a peer's response and closes the response body. It returns nil and leaves the body open
// if the response is not a refusal, that is, has no run state header.
func FromResponse(resp *http.Response) *Refusal {
	run := resp.Header.Get(headers.Run)
	if run == "" {
		return nil
	}
	defer resp.Body.Close()
	r := &Refusal{Kind: Unreachable, Detail: "peer refused without a reason"}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(r); err != nil {
		r.Detail = "peer refused with an unreadable reason"
	}
	r.RunState = headers.ParseRun(run)
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		r.RetryAfter = time.Duration(min(s, 3600)) * time.Second
	}
	return r
}
