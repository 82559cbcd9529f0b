/** Tests of the metrics. */
package org.larkkeel.http.metrics;
