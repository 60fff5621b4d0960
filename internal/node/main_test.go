package node

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests; the command line may set another one.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "20261203"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
