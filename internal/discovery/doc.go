// Package discovery is the client of the discovery service. It reads the endpoint list of a site, watches the list for
// changes, and passes each list to the caller in the order of arrival. It manages the connection to discovery, the
// revision that has been read, the backoff after failed calls and the failover between replicas. The caller decides
// what a list means for requests.
//
// The settings of a site say how lists arrive. Where lists are pushed, the client watches discovery for as long as Run
// runs. Where lists are polled, the client makes a call only after the caller has asked for a call with Request.
package discovery
