/**
 * The implementation of the stand-ins.
 *
 * @since 0.1
 */
package org.larkkeel.standin.internal;
