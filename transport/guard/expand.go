package guard

import (
	"context"
	"net/http"
)

// smallBytes is the memory up to which a request is decoded without waiting for others.
const smallBytes = 64 << 10

// Expand calls decode, which may take up to bytes of memory. Of large requests it decodes only a few at a
// time, since they would keep the processor from small ones. decode returns how much of the memory stays
// in use until the request ends. The error is ErrNoMemory, or that of ctx.
func Expand(ctx context.Context, r *http.Request, bytes int64, decode func() (kept int64)) error {
	c := connOf(r)
	if c == nil {
		decode()
		return nil
	}
	if bytes > smallBytes {
		slots := c.listener.pool.expansions
		if err := slots.Acquire(ctx, 1); err != nil {
			return err
		}
		defer slots.Release(1)
	}
	if !c.charge(bytes) {
		return ErrNoMemory
	}
	kept := decode()
	if kept <= bytes {
		c.refund(bytes - kept)
		return nil
	}
	if !c.charge(kept - bytes) {
		return ErrNoMemory
	}
	return nil
}

// Refund takes bytes off the memory of a request, which it no longer uses.
func Refund(r *http.Request, bytes int64) {
	if c := connOf(r); c != nil {
		c.refund(bytes)
	}
}
