/**
 * Tables and other output formats.
 *
 * @since 0.1
 */
package org.larkkeel.cli.output;
