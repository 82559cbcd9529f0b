/**
 * Small stand-ins of model engines, plain services and the platform.
 *
 * <p>Each speaks the protocols that larkkeel uses towards the outside, keeps a ledger of what it
 * saw, and can be made to fail on purpose.
 *
 * @since 0.1
 */
package org.larkkeel.standin;
