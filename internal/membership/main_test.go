package membership

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that runs are reproducible. A seed on the command line
// overrides it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "20261203"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
