/**
 * The client of the operators' API.
 *
 * @since 0.1
 */
package org.larkkeel.cli.client;
