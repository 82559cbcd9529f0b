/** The listener towards callers: completions, routed plain calls, health and metrics. */
package org.larkkeel.http.caller;
