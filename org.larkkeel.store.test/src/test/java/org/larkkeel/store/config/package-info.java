/** Tests of the configuration on an append-only log. */
package org.larkkeel.store.config;
