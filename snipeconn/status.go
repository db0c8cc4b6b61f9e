package snipeconn

import (
	"errors"
	"net/http"
)

var errBadStatus = errors.New("response status is not three digits from 100 to 599")

// CheckStatus returns an error unless the status of a response that net/http has read
// consists of three digits and is from 100 to 599. net/http also accepts signs, and all
// values below 1000.
func CheckStatus(resp *http.Response) error {
	const digits, lowest, highest = 3, 100, 599
	if len(resp.Status) < digits || resp.StatusCode < lowest || resp.StatusCode > highest {
		return errBadStatus
	}
	for _, b := range []byte(resp.Status[:digits]) {
		if b < '0' || b > '9' {
			return errBadStatus
		}
	}
	return nil
}
