/** Leases, which allow one holder at a time for duties that no conditional write protects. */
package org.larkkeel.store.lease;
