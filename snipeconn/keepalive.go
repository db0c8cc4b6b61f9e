package snipeconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is subtracted from the idle timeout that a target announces, because
// the two ends start to count at different times.
const idleMargin = time.Second

// keepAliveTimeout returns how long a connection may stay idle before reuse,
// according to the timeout in the Keep-Alive header of a response. It may be zero
// or negative. It reports false if the header has no valid timeout.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			seconds, err := strconv.Atoi(strings.TrimSpace(number))
			if err != nil {
				return 0, false
			}
			return time.Duration(seconds)*time.Second - idleMargin, true
		}
	}
	return 0, false
}
