package snipeconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is taken off the idle timeout that a target states, because both
// ends count from different moments.
const idleMargin = time.Second

// keepAliveTimeout returns how long a connection may be reused by the Keep-Alive
// header of an answer, and false if the header states nothing.
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
