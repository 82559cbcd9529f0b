/** The metrics of a node. */
package org.larkkeel.http.metrics;
