package gate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"pomelofork/emul/pgsim"
)

// mixedSeed seeds the sessions of the random transactions.
const mixedSeed = 20261

// endings are the ways for a transaction to end, and whether its writes stay.
var endings = map[string]bool{"COMMIT": true, "ROLLBACK": false, "": false}

// transactions runs random transactions of one session and returns the names of
// those whose writes must stay.
func transactions(ctx context.Context, b *bench, session int) ([]string, error) {
	random := rand.New(rand.NewPCG(mixedSeed, uint64(session)))
	var kept []string
	for i := range 12 {
		name := fmt.Sprintf("%d.%d", session, i)
		ending := []string{"COMMIT", "ROLLBACK", ""}[random.IntN(3)]
		if err := transaction(ctx, b, name, ending, 1+random.IntN(3)); err != nil {
			return nil, err
		}
		if endings[ending] {
			kept = append(kept, name)
		}
	}
	return kept, nil
}

// transaction writes some lines under a name, and ends or is given up.
func transaction(ctx context.Context, b *bench, name, ending string, lines int) error {
	l, err := b.gate.Open(ctx, writes())
	if err != nil {
		return err
	}
	defer l.Close()
	texts := []string{"BEGIN"}
	for line := range lines {
		texts = append(texts, fmt.Sprintf("INSERT INTO ledger (id) VALUES ('%s/%d of %d')", name, line, lines))
	}
	if ending != "" {
		texts = append(texts, ending)
	}
	for _, text := range texts {
		if _, err := l.Run(ctx, query(text), &answer{}); err != nil {
			return err
		}
	}
	return nil
}

var _ = Describe("Transactions of many sessions", func() {
	It("never mix: each one's writes stay as a whole or not at all", func(ctx SpecContext) {
		b := newBench(pgsim.Config{Slots: 2, Connections: 6, StatementCost: 200 * time.Microsecond})
		const sessions = 10
		kept := make([][]string, sessions)
		var work errgroup.Group
		for session := range sessions {
			work.Go(func() (err error) {
				kept[session], err = transactions(ctx, b, session)
				return err
			})
		}
		Expect(work.Wait()).To(Succeed())
		got, _, err := do(ctx, b.gate, reads(""), query("SELECT id FROM ledger"))
		Expect(err).NotTo(HaveOccurred())
		want := map[string]bool{}
		for _, names := range kept {
			for _, name := range names {
				want[name] = true
			}
		}
		lines, sizes := map[string]int{}, map[string]int{}
		for _, row := range got.rows {
			name, place, _ := strings.Cut(row[0], "/")
			Expect(want).To(HaveKey(name), "a transaction that didn't commit left a line")
			var line, size int
			_, err := fmt.Sscanf(place, "%d of %d", &line, &size)
			Expect(err).NotTo(HaveOccurred())
			lines[name], sizes[name] = lines[name]+1, size
		}
		Expect(lines).To(Equal(sizes))
		Expect(lines).To(HaveLen(len(want)))
	})
})
