/** Tests of the HTTP listener for callers. */
package org.larkkeel.http.caller;
