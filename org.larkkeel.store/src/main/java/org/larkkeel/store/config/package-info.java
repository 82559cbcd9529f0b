/** The configuration on the append-only log: one revision, one audit trail. */
package org.larkkeel.store.config;
