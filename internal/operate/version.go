package operate

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// AddVersion uploads the weights in the file to the origin and their manifest to the object store, and prints the
// version's identity.
func (o *Operator) AddVersion(ctx context.Context, model core.Model, object, path string, chunkBytes int64) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "the weights cannot be read", "name a readable file")
	}
	if err := o.uploadWeights(ctx, object, raw); err != nil {
		return err
	}
	encoded, version, err := weights.NewManifest(model, object, raw, chunkBytes).Encode()
	if err != nil {
		return err
	}
	if err := o.Platform.PutObject(ctx, weights.ManifestFolder+string(version), encoded); err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.Out, version)
	return err
}

func (o *Operator) uploadWeights(ctx context.Context, object string, raw []byte) error {
	url := "http://" + o.Addresses.OriginAddress + "/weights/" + object
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(string(raw)))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.PlatformDown, "the origin took no upload", "try again")
	}
	return answer.Body.Close()
}
