package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestStatus guards against a status that is not one being taken for an interim
// response, which made the exchange wait until its deadline, or being passed on.
func TestStatus(t *testing.T) {
	cases := map[string]int{ // the accepted status, or 0
		"000": 0, "042": 0, "099": 0, "+20": 0, "-20": 0, "600": 0, "999": 0, "20": 0, "2000": 0, "2OO": 0, "": 0,
		"200": 200, "299": 299, "404": 404, "599": 599,
	}
	for status, want := range cases {
		t.Run(status, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Text\r\n"+idHeader+": "+id+"\r\nContent-Length: 0\r\n\r\n")
				_, _ = readRequest(r)
			})
			const wait = 10 * time.Second
			started := time.Now()
			resp, err := New(Settings{}).Send(context.Background(), newRequest(address, "1", wait))
			if elapsed := time.Since(started); elapsed > wait/2 {
				t.Errorf("took %v", elapsed)
			}
			var failure *Error
			switch {
			case err == nil && resp.Status != want:
				t.Errorf("status %d, want %d", resp.Status, want)
			case err == nil:
				resp.Close()
			case want != 0:
				t.Errorf("status was refused: %v", err)
			case !errors.As(err, &failure) || failure.Cause != CauseMalformed || !failure.MayHaveBegun:
				t.Errorf("error %v, want cause %s of a request that may have begun", err, CauseMalformed)
			}
		})
	}
}

// TestInterimStatus guards against a final response that is lost behind interim ones.
func TestInterimStatus(t *testing.T) {
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n"+okResponse(id, "ok"))
	})
	resp, err := New(Settings{}).Send(context.Background(), newRequest(address, "1", time.Second))
	if err != nil || resp.Status != http.StatusOK {
		t.Fatalf("response %v, error %v", resp, err)
	}
	resp.Close()
}
