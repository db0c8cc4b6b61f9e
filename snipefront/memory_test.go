package snipefront

import "testing"

// TestMemoryShare guards against responses that hold the memory for request bodies, and
// against memory that one of the two budgets loses.
func TestMemoryShare(t *testing.T) {
	const process = 184 << 20
	const budget = int64(bodyMemoryShare * process)
	const half = budget / 2
	total := newBodyMemory(process)
	share := newMemoryShare(total, process)
	if !share.TryAcquire(half) || share.TryAcquire(1) {
		t.Fatal("responses may not hold exactly half of the memory")
	}
	if !total.TryAcquire(half) || total.TryAcquire(1) {
		t.Fatal("the other half is not free for request bodies")
	}
	share.Release(half)
	if !total.TryAcquire(half) {
		t.Fatal("memory of responses does not return to the budget")
	}
	if share.TryAcquire(1) {
		t.Fatal("responses exceed the budget")
	}
	total.Release(budget)
	if !share.TryAcquire(half) {
		t.Error("a refused reservation is not returned")
	}
}
