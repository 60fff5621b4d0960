package ingress

import "context"

type contextKey struct{}

// WithConn returns a context that holds the connection on which a request arrives.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection that the context holds; nil if it holds none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
