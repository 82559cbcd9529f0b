/**
 * The run records of non-idempotent requests, which ensure that each request runs at most once
 * across nodes and restarts.
 */
package org.larkkeel.store.run;
