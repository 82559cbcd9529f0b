/** Tests of the append-only log. */
package org.larkkeel.store.log;
