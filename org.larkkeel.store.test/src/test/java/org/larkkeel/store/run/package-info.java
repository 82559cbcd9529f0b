/** Tests of the run records of non-idempotent requests. */
package org.larkkeel.store.run;
