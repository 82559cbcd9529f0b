/** The configuration on an append-only log, which defines its revisions and its audit trail. */
package org.larkkeel.store.config;
