/**
 * The run records of non-idempotent requests, so that each runs at most once across nodes and
 * restarts.
 */
package org.larkkeel.store.run;
