/** Tests of the meters. */
package org.larkkeel.http.metrics;
