/** HTTP clients of the platform's services, based on Undertow's client. */
package org.larkkeel.store.internal.http;
