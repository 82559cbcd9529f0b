/**
 * Tables and other forms of output.
 *
 * @since 0.1
 */
package org.larkkeel.cli.output;
