/** Tests of the HTTP side over loopback, with scripted peers. */
package org.larkkeel.http;
