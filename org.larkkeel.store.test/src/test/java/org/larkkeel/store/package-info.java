/** Tests of the clients of the platform, with an in-memory object API and virtual time. */
package org.larkkeel.store;
