package snipestore_test

import (
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// exampleStore starts a stand-in of the store on a loopback address.
func exampleStore() (address string, stop func()) {
	clock := snipetime.New()
	store, err := snipestandin.NewStore(snipestandin.StoreSettings{Address: "127.0.0.1:0", Clock: clock})
	if err != nil {
		panic(err)
	}
	return store.Address(), func() {
		_ = store.Close()
		clock.Close()
	}
}
