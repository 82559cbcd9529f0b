/** The meters of a node. */
package org.larkkeel.http.metrics;
