package etcdserver_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// swap is a read when next is empty, and otherwise a compare-and-swap.
type swap struct{ key, expected, next string }

type swapped struct {
	value     string
	succeeded bool
	unknown   bool
}

// register is a key of the store. A swap with an unknown outcome may or may not
// have taken effect.
var register = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			in, _ := o.Input.(swap)
			byKey[in.key] = append(byKey[in.key], o)
		}
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, _ := input.(swap)
		out, _ := output.(swapped)
		switch {
		case in.next == "" && out.value == state:
			return []any{state}
		case in.next == "":
			return nil
		case out.unknown && state == in.expected:
			return []any{state, in.next}
		case out.unknown:
			return []any{state}
		case out.succeeded && state == in.expected:
			return []any{in.next}
		case !out.succeeded && state != in.expected:
			return []any{state}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history collects the operations of all clients.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) record(client int, in swap, began time.Time, out swapped) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(time.Since(h.start))
	if out.unknown {
		end = math.MaxInt64
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(began.Sub(h.start)), Output: out, Return: end,
	})
}

// Guards against answers over the wire that no order of the calls explains,
// also while answers are lost.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			faults, address := serve(t)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			h := &history{start: time.Now()}
			tasks := group.New(ctx)
			for n := range 4 {
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				client := dial(t, fmt.Sprint("client-", n), address)
				tasks.Go("client", func(ctx context.Context) error {
					for i := range 25 {
						if random.IntN(6) == 0 {
							faults.Set(etcdserver.Settings{LoseAnswers: 1})
						}
						act(ctx, h, client, n, swap{key: fmt.Sprint("k", random.IntN(2)), next: fmt.Sprint(n, "-", i)})
					}
					return nil
				})
			}
			if err := tasks.Wait(); err != nil {
				t.Fatal(err)
			}
			model := register.ToModel()
			if result := porcupine.CheckOperationsTimeout(model, h.operations, 20*time.Second); result != porcupine.Ok {
				t.Fatalf("history of %d operations is %s", len(h.operations), result)
			}
		})
	}
}

// act reads a key and swaps it on what was read.
func act(ctx context.Context, h *history, s store.Store, client int, in swap) {
	began := time.Now()
	entry, _, err := s.Get(ctx, in.key)
	if err != nil {
		return
	}
	revision := int64(0)
	if entry != nil {
		in.expected, revision = string(entry.Value), entry.ModRevision
	}
	h.record(client, swap{key: in.key}, began, swapped{value: in.expected})
	began = time.Now()
	result, err := s.Txn(ctx, []store.Compare{{Key: in.key, Revision: revision}},
		[]store.Write{{Key: in.key, Value: []byte(in.next)}})
	h.record(client, in, began, swapped{succeeded: result.Succeeded, unknown: err != nil})
}
