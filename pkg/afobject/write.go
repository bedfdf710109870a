package afobject

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"

	"github.com/go-faster/errors"
)

// writeAttempts bounds how often WriteWithReadback sends the same conditional write.
const writeAttempts = 3

// WriteWithReadback creates the object if its Version is zero and updates it otherwise. A lost answer is resolved by
// reading back: the write took effect if the object has a newer version and the same content. Where it matters
// who wrote, the content must name the writer.
//
// While the object is unchanged, the write is sent again: it is conditional, so that it takes effect at most
// once. VersionConflict then also covers a write that took effect and was overwritten by another writer.
// WriteWithReadback fails with OutcomeUnknown only if the platform cannot be read.
func (c *Client) WriteWithReadback(ctx context.Context, o Object) (Object, error) {
	var err error
	for attempt := range writeAttempts {
		var written Object
		if o.Version == 0 {
			written, err = c.Create(ctx, o)
		} else {
			written, err = c.Update(ctx, o)
		}
		if err == nil {
			return written, nil
		}
		if attempt > 0 {
			err = afterLost(err)
		}
		// A conflict after a lost answer may come from the lost write itself.
		if !IsKind(err, OutcomeUnknown) && (attempt == 0 || !IsKind(err, VersionConflict)) {
			return Object{}, err
		}
		found, readErr := c.Get(ctx, o.Kind, o.Name)
		switch {
		case readErr == nil && found.Version > o.Version && sameSpec(found.Spec, o.Spec):
			return found, nil
		case readErr == nil && found.Version != o.Version,
			IsKind(readErr, ObjectNotFound) && o.Version != 0:
			return Object{}, &Error{Op: "write", Object: o.Kind + "/" + o.Name, Kind: VersionConflict}
		case readErr != nil && !IsKind(readErr, ObjectNotFound):
			return Object{}, err
		}
	}
	return Object{}, err
}

// afterLost returns the error of a write that was sent again. That it was not carried out this time says nothing
// about the time before.
func afterLost(err error) error {
	if e, ok := errors.Into[*Error](err); ok && e.Kind == PlatformUnavailable {
		return &Error{Op: e.Op, Object: e.Object, Kind: OutcomeUnknown, Err: e.Err}
	}
	return err
}

// DeleteWithReadback deletes an object that has the version. A lost answer is resolved by reading back, as in
// WriteWithReadback: the deletion took effect if the object is gone, whoever deleted it.
func (c *Client) DeleteWithReadback(ctx context.Context, kind, name string, version int64) error {
	var err error
	for attempt := range writeAttempts {
		err = c.Delete(ctx, kind, name, version)
		if attempt > 0 {
			if IsKind(err, ObjectNotFound) {
				return nil
			}
			err = afterLost(err)
		}
		if !IsKind(err, OutcomeUnknown) {
			return err
		}
		found, readErr := c.Get(ctx, kind, name)
		switch {
		case IsKind(readErr, ObjectNotFound):
			return nil
		case readErr != nil:
			return err
		case found.Version != version:
			return &Error{Op: "remove", Object: kind + "/" + name, Kind: VersionConflict}
		}
	}
	return err
}

// sameSpec compares the values, since the platform may store another textual form.
func sameSpec(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, errX := decodeSpec(a)
	y, errY := decodeSpec(b)
	return errX == nil && errY == nil && reflect.DeepEqual(x, y)
}

func decodeSpec(b json.RawMessage) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}
