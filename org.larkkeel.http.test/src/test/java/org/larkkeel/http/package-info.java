/** Tests of the HTTP layer over loopback connections, with scripted callers and servers. */
package org.larkkeel.http;
