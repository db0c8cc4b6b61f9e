// Package snipecaller holds the connections of callers under net/http.
//
// Callers may send further requests before the first one is answered. net/http
// answers them one after the other, and from the first byte of a further request
// on it does not notice any more that the caller has closed the connection. The
// connections of this package go on reading, up to a bound, so that a caller that
// leaves ends all its requests. They tell when a request arrived that waited
// behind others, and let its answer be begun ahead of its turn; net/http still
// delivers answers in the order of the requests.
//
// A connection that has carried a request with a body is only watched, because
// bytes of a body must not be taken for a request.
package snipecaller
