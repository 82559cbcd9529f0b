/**
 * The operators' HTTP API: reading and changing the configuration, the audit log, the explanation
 * of routing decisions, node status and drain.
 *
 * @since 0.1
 */
package org.larkkeel.http.operator;
