// Package snipeonce guarantees at-most-once execution of requests of class once.
//
// A request identifier names its issuer: the process incarnation that alone may
// start the request. The issuer keeps a Table with one record per started
// request; every other instance relays the request to the issuer. The package
// performs no I/O and reads no clock: each call receives the current instant of
// the calling process. Instants of other processes are stored and forwarded, but
// never compared with local ones.
//
// Two rules make an outcome final. First, a request can start only within the
// start window after the issue time of its identifier. Its record is kept for
// longer than that window, so a request whose record has expired cannot start
// again. Second, an identifier is closed before its request is answered not-run,
// so a late duplicate cannot start it. Therefore only the Table of the issuer, or
// the complete hand-over of a closed issuer, may answer not-run; any other
// instance that cannot relay the request answers unknown.
package snipeonce
