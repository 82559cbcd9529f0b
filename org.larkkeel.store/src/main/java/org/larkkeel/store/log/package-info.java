/**
 * An append-only log over the object API: the one primitive for everything that must be agreed or
 * kept.
 */
package org.larkkeel.store.log;
