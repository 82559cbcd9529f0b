/**
 * An append-only log over the object API, on which everything that needs agreement or durability is
 * built.
 */
package org.larkkeel.store.log;
