/** Tests of the run records. */
package org.larkkeel.store.run;
