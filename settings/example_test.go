package settings_test

import (
	"fmt"

	"github.com/chervilwell/chervilwell/settings"
)

func ExampleParse() {
	s, err := settings.Parse("settings.jsonc", []byte(`{
	  "instance": "obb-muc-3", "failureDomain": "obb-muc", "service": "lagerstand",
	  "listen": {
	    "callers": "10.0.0.3:8443", "requests": "10.0.0.3:8444", "peers": "10.0.0.3:8445", "operator": "127.0.0.1:8446",
	  },
	  "target": {"addr": "127.0.0.1:9000"},
	  "platform": {"url": "http://10.0.0.1:7000"},
	  "tls": {"cert": "internal.pem", "key": "internal.key", "ca": "ca.pem"},
	  "trustOrganisationHeader": true,
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Instance, s.Target.HealthPath, s.DrainLimit.Std())
	// Output: obb-muc-3 /health 15s
}
