/** Tests of HTTP requests to upstreams and of polling engines. */
package org.larkkeel.http.upstream;
