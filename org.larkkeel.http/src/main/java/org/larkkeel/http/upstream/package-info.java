/** Requests to engines and services: pooled connections, streams, polling, orphan removal. */
package org.larkkeel.http.upstream;
