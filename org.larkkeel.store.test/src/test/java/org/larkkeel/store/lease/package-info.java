/** Tests of leases. */
package org.larkkeel.store.lease;
