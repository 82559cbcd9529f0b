/**
 * The subcommands, one class each.
 *
 * @since 0.1
 */
package org.larkkeel.cli.command;
