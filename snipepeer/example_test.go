package snipepeer_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipewire"
)

func Example() {
	node := func(incarnation string) (*snipepeer.Node, string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		settings := snipepeer.Settings{Address: l.Addr().String(), Incarnation: incarnation, Place: "maadi"}
		return snipepeer.New(settings, l, &net.Dialer{}, zap.NewNop()), settings.Address
	}
	lender, address := node("lender")
	snipepeer.HandleCall(lender, func(_ context.Context, _ snipepeer.Peer, q *snipewire.LoanRequest) (*snipewire.LoanReply, error) {
		return &snipewire.LoanReply{LoanId: q.GetLoanId(), Units: q.GetUnits() / 2}, nil
	})
	lender.Start()
	defer lender.Close()

	borrower, _ := node("borrower")
	borrower.Start()
	defer borrower.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := &snipewire.LoanRequest{LoanId: "l1", Units: 100}
	reply, err := snipepeer.Call[*snipewire.LoanReply](ctx, borrower, address, request)
	fmt.Println(reply.GetUnits(), err)
	// Output: 50 <nil>
}
