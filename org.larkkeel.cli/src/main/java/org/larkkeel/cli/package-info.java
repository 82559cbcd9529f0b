/**
 * The operators' command line, {@code larkkeel}.
 *
 * @since 0.1
 */
package org.larkkeel.cli;
