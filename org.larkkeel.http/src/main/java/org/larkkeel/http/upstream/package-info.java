/**
 * HTTP requests to engines and services: connection pools, token streams, polling and the removal
 * of orphans.
 */
package org.larkkeel.http.upstream;
