package view

import (
	"context"
	"log/slog"

	"pomelofork/io/store"
)

// oddEntries are the keys of the entries that couldn't be decoded, with their revisions. Whoever wrote one
// may write it again and again, and it is logged once. The View's lock guards it.
type oddEntries map[string]uint64

// noteOdd records that an entry couldn't be decoded, and logs it unless the former one under its key
// couldn't be decoded either.
func (v *View) noteOdd(ctx context.Context, level slog.Level, e store.Entry, message string, err error, attrs ...slog.Attr) {
	if _, known := v.odd[e.Key]; !known {
		v.config.Log.LogAttrs(ctx, level, message, append(attrs, slog.Uint64("revision", e.Revision), slog.String("error", err.Error()))...)
	}
	if v.odd == nil {
		v.odd = oddEntries{}
	}
	v.odd[e.Key] = e.Revision
}

// forgetOdd forgets that the entry under a key couldn't be decoded, if the given entry has followed it.
func (v *View) forgetOdd(e store.Entry) {
	if revision, known := v.odd[e.Key]; known && (e.Removed || revision != e.Revision) {
		delete(v.odd, e.Key)
	}
}
