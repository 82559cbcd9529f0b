/** Tests of the listener towards callers. */
package org.larkkeel.http.caller;
