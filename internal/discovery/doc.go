// Package discovery is the client of the discovery service: it reads the endpoint list of a site, watches it for
// changes, and passes each one on in the order of arrival. It owns the connection to discovery, the revision up to
// which the list has been read, the backoff after failed calls and the choice among replicas. What the list means for
// requests is the caller's business.
//
// A site's settings say how the list comes. Where it is pushed the client watches on its own, from Run to its end.
// Where it is polled the client makes a call only when the caller's Request asks for one.
package discovery
