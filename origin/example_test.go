package origin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/origin"
)

func ExampleHTTP() {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	source, err := origin.NewHTTP(server.URL, server.Client())
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = source.Read(context.Background(), origin.ManifestKey)
	fmt.Println(errors.Is(err, origin.ErrNotFound))
	// Output: true
}
