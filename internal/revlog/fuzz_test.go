package revlog_test

import (
	"context"
	"testing"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/revlog"
)

// FuzzRows puts arbitrary bytes into the rows of the table: reading them returns an error or valid
// data, never panics, and no revision but the next one is adopted.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"revision":1}`), []byte(`{"revision":1,"hosts":[{"id":"a"}]}`), []byte(`{"token":"x","state":"done","result":{}}`))
	f.Add([]byte(`{"revision":-5}`), []byte(`{"revision":9007199254740993}`), []byte(`{"state":7}`))
	f.Add([]byte(``), []byte(`null`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, head, row, claimRow []byte) {
		ctx := context.Background()
		db := memdb.New()
		key := gauge.ClaimKey{Team: "t", ID: "k", Day: "d"}
		_ = db.Commit(ctx, gauge.Txn{Puts: []gauge.Put{
			{Key: "head", Value: append([]byte{}, head...)},
			{Key: "rev/00000000000000000001", Value: append([]byte{}, row...)},
			{Key: "rec/pool/a", Value: append([]byte{}, row...)},
			{Key: "host/a", Value: append([]byte{}, row...)},
			{Key: "claim/d/t/k", Value: append([]byte{}, claimRow...)},
		}})
		l := revlog.New(db)
		if s, err := l.Load(ctx); err == nil {
			_ = s.Validate()
		}
		if s, err := l.CatchUp(ctx, gauge.State{}); err == nil && s.Revision > 1 {
			t.Fatalf("revision %d was adopted", s.Revision)
		}
		c := claim.New(claim.Config{Entry: "e", Table: db, Objects: db, Clock: time.Now})
		_, _ = c.Read(ctx, key)
	})
}
