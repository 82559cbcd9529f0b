/** Tests of requests to upstreams. */
package org.larkkeel.http.upstream;
