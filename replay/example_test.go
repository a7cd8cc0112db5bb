package replay_test

import (
	"context"
	"fmt"

	"github.com/azuredeal/azuredeal/replay"
)

func ExampleRun() {
	traces, err := replay.EmbeddedTraces()
	if err != nil {
		fmt.Println(err)
		return
	}
	sum, err := replay.Run(context.Background(), replay.Options{Traces: traces[:1], Short: true})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(len(sum.Results()), "policies,", len(sum.UnmetExpectations()), "outcomes missed")
	// Output:
	// 4 policies, 0 outcomes missed
}
