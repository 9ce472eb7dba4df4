package gatekeeper

import (
	"net/http/httptest"
	"testing"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/quarantine"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Guards against a request that is refused for crashes at the service that its route had before.
func TestRequestToAnotherServiceHasAnotherFingerprint(t *testing.T) {
	call := &Call{Request: httptest.NewRequest("PUT", "/stock/x", nil), Organisation: "haulier-a"}
	fingerprint := func(service string) quarantine.Fingerprint {
		return quarantine.FingerprintOf(identity(call, &snapshot.Route{Route: catalogue.Route{Name: "stock", Service: service}}, 1))
	}
	before, again, moved := fingerprint("stock"), fingerprint("stock"), fingerprint("stock-2")
	if before == moved {
		t.Error("requests to two services have one fingerprint")
	}
	if before != again {
		t.Error("one request has two fingerprints")
	}
}
