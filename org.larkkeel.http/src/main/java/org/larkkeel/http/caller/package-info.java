/** The HTTP listener for callers: completions, routed plain calls, health and metrics. */
package org.larkkeel.http.caller;
