/** Tests of leases. */
package org.larkkeel.platform.lease;
