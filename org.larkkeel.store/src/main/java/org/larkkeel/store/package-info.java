/**
 * Clients of the platform: the object API, the host list and the weight store.
 *
 * <p>All state that must be durable or agreed between nodes goes through {@link
 * org.larkkeel.store.ObjectApi}.
 */
package org.larkkeel.store;
