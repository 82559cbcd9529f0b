/**
 * The operators' API: reading and changing the configuration, audit, explanation, status and drain
 * over HTTP.
 *
 * @since 0.1
 */
package org.larkkeel.http.operator;
