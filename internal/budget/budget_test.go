package budget

import (
	"sync"
	"testing"
)

func TestReadersTogetherHoldNoMoreThanTheLimit(t *testing.T) {
	const limit, free, step = 1000, 100, 30
	shared := New(limit)
	var group sync.WaitGroup
	growths := make([]Growth, 20)
	for i := range growths {
		growths[i] = Growth{Budget: shared, Free: free}
		group.Go(func() {
			for growths[i].Resize(growths[i].Size() + step) {
				if shared.Held() > limit+int64(len(growths))*step { // others may be asking
					t.Errorf("%d bytes are held", shared.Held())
				}
			}
		})
	}
	group.Wait()
	var held int64
	for i := range growths {
		held += max(0, growths[i].Size()-free)
		if growths[i].Size()+step <= free {
			t.Errorf("a reader keeps %d bytes and gets none of its free ones", growths[i].Size())
		}
	}
	if held != shared.Held() || held > limit {
		t.Errorf("the readers hold %d bytes, the budget says %d", held, shared.Held())
	}
	for i := range growths {
		growths[i].Release()
	}
	if shared.Held() != 0 {
		t.Errorf("%d bytes are held after all", shared.Held())
	}
}

func TestNoBudgetHasNoLimit(t *testing.T) {
	growth := Growth{}
	if !growth.Resize(1<<40) || growth.Size() != 1<<40 || growth.Budget.Held() != 0 {
		t.Error("a reader without a budget is limited")
	}
	growth.Release()
}
