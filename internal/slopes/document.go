package slopes

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/wait"
)

// documentSizes are the numbers of organisations to measure, each with one rule.
var documentSizes = []int{5, 50, 200}

// measureDocument measures the cost of a change of the document against its
// encoded size.
func measureDocument(ctx context.Context, _ Options, out *Results) error {
	for _, n := range documentSizes {
		if err := measureDocumentAt(ctx, n, out); err != nil {
			return err
		}
	}
	return nil
}

func measureDocumentAt(ctx context.Context, organisations int, out *Results) error {
	doc := document(organisations)
	value, err := msgpack.Marshal(doc)
	if err != nil {
		return err
	}
	ts, err := startTestSite(ctx, serverNodes, fewServers, doc)
	if err != nil {
		return err
	}
	defer ts.site.Close()
	wait.For(ctx, settleTime)
	baseline := ts.measureDuring(func() { wait.For(ctx, idlePeriod/4) })
	size := float64(len(value))
	out.Add("document", "organisations and rules of the document", "number", "encoded document bytes", size, float64(organisations))
	return ts.measureChanges(ctx, baseline, func(quantity, unit string, y float64) {
		out.Add("document", fmt.Sprint(quantity, ", by size"), unit, "encoded document bytes", size, y)
	})
}
