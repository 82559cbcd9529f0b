/**
 * Exit codes, failures and messages of the command line.
 *
 * @since 0.1
 */
package org.larkkeel.cli.errors;
