// Package asker sends the same query to many addresses in parallel.
package asker

import (
	"context"
	"sync"
)

// QueryFunc queries one address. The answer contains the address if the caller needs it.
type QueryFunc[T any] func(ctx context.Context, address string) T

// QueryAll queries all addresses in parallel and returns the answers in the order of the
// addresses.
func (a QueryFunc[T]) QueryAll(ctx context.Context, addresses []string) []T {
	answers := make([]T, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		q := &query[T]{ask: a, address: address, answer: &answers[i]}
		group.Go(func() { q.run(ctx) })
	}
	group.Wait()
	return answers
}

// query is the query to one address.
type query[T any] struct {
	ask     QueryFunc[T]
	address string
	answer  *T
}

func (q *query[T]) run(ctx context.Context) { *q.answer = q.ask(ctx, q.address) }
