/**
 * Ports to the platform: the object API, the host list and the weight store.
 *
 * <p>Everything that must be agreed or kept goes through {@link org.larkkeel.store.ObjectApi}.
 */
package org.larkkeel.store;
