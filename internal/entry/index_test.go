package entry

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/routing"
)

func TestIndexIsRebuiltOnNewConfigurationOrAge(t *testing.T) {
	cache := indexCache{meters: routing.NewMeters()}
	snapshot := requestSnapshot(t)
	first := &node.View{Snapshot: snapshot}
	records := &node.View{Snapshot: snapshot}
	configuration := &node.View{Snapshot: requestSnapshot(t)}
	for _, step := range []struct {
		name string
		view *node.View
		at   time.Duration
		want *node.View
	}{
		{"first view", first, 0, first},
		{"same view after an hour", first, time.Hour, first},
		{"new records within maxIndexAge", records, maxIndexAge - 1, first},
		{"new records after maxIndexAge", records, maxIndexAge, records},
		{"new configuration", configuration, maxIndexAge, configuration},
	} {
		before := cache.latest.Load()
		index := cache.forView(step.view, routing.Locality{}, step.at)
		if index.View != step.want {
			t.Errorf("%s: got the index of another view", step.name)
		}
		if before != nil && before.index.View == step.want && index != before.index {
			t.Errorf("%s: the index was rebuilt", step.name)
		}
	}
}
