package entry

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/routing"
)

func TestIndexIsBuiltOnceAViewAndAtOnceForAConfiguration(t *testing.T) {
	cache := indexCache{meters: routing.NewMeters()}
	snapshot := requestSnapshot(t)
	first := &node.View{Snapshot: snapshot}
	records := &node.View{Snapshot: snapshot}
	configuration := &node.View{Snapshot: requestSnapshot(t)}
	for _, step := range []struct {
		what string
		view *node.View
		at   time.Duration
		want *node.View
	}{
		{"the first view", first, 0, first},
		{"the same view later", first, time.Hour, first},
		{"other records at once", records, indexLife - 1, first},
		{"other records later", records, indexLife, records},
		{"another configuration at once", configuration, indexLife, configuration},
	} {
		before := cache.latest.Load()
		index := cache.of(step.view, routing.Locality{}, step.at)
		if index.View != step.want {
			t.Errorf("%s: the index is of another view", step.what)
		}
		if before != nil && before.index.View == step.want && index != before.index {
			t.Errorf("%s: the index was built again", step.what)
		}
	}
}
