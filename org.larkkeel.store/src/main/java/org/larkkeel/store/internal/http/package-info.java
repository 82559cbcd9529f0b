/** The HTTP adapters of the ports to the platform, over Undertow's client. */
package org.larkkeel.store.internal.http;
