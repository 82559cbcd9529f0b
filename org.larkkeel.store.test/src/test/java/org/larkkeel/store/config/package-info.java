/** Tests of the configuration on the log. */
package org.larkkeel.store.config;
