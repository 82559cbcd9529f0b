/** Tests of the ports to the platform, with an object API in memory and virtual time. */
package org.larkkeel.store;
