package snipeslot_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
)

func newChooser(seed uint64) *sniperoute.Chooser {
	return sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(seed, 1)))
}

func ExampleOwner() {
	self := snipeslot.Member{Address: "10.0.0.1:7000", Incarnation: "a"}
	group := snipeslot.GroupName("society", "bookdesk", "tcr-ollur", 0)
	owner := snipeslot.NewOwner(snipeslot.Settings{Group: group, Epoch: 1}, newChooser(1), 0)
	owner.SetLease(snipetime.Instant(10 * time.Second))
	owner.Configure(0, []snipeslot.Target{{Address: "10.0.1.1:80", Slots: 1}})
	owner.SetMembers(0, []snipeslot.Member{self})

	holder := snipeslot.NewHolder(self, 0)
	holder.OwnerChanged(group, 1)
	for _, list := range holder.Renewals() {
		reply, _ := owner.Renew(0, list)
		holder.HandleRenewReply(0, list, reply)
	}
	for _, id := range []string{"a1", "a2"} {
		a, _ := holder.Begin(0, snipeslot.Acquire{Group: group, AttemptID: id, Budget: time.Second, MaximumWait: time.Second})
		reply := owner.Acquire(0, a)
		action, _ := holder.HandleReply(0, reply)
		fmt.Println(id, reply.Target, action == snipeslot.ActionStart)
	}
	release, _ := holder.Finish("a1", snipeslot.OutcomeDone, 3*time.Millisecond)
	for _, reply := range owner.Release(snipetime.Instant(3*time.Millisecond), release) {
		fmt.Println(reply.AttemptID, reply.Target)
	}
	// Output:
	// a1 10.0.1.1:80 true
	// a2  false
	// a2 10.0.1.1:80
}
