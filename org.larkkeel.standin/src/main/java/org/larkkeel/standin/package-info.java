/**
 * Test doubles of model engines, plain services and the platform, called stand-ins.
 *
 * <p>Each implements the server side of the protocols that larkkeel speaks to its dependencies,
 * records the calls it executed, and supports fault injection.
 *
 * @since 0.1
 */
package org.larkkeel.standin;
