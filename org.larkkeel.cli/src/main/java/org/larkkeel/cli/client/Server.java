/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

import java.net.URI;
import java.net.URISyntaxException;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;

/**
 * Where the operators' API of a node is.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param uri scheme, host and port
 * @since 0.1
 */
public record Server(URI uri) {
  private static final String PLAIN = "http";
  private static final String SECURE = "https";
  private static final String SCHEME_MARK = "://";

  /**
   * Reads the name of a server.
   *
   * @param text {@code HOST:PORT}, {@code http://HOST:PORT} or {@code https://HOST:PORT}
   * @return the server
   * @throws CommandFailure of {@link ExitCode#USAGE} if the text is malformed
   */
  public static Server parse(String text) {
    String whole = text.contains(SCHEME_MARK) ? text : PLAIN + SCHEME_MARK + text;
    try {
      URI uri = new URI(whole);
      boolean known = PLAIN.equals(uri.getScheme()) || SECURE.equals(uri.getScheme());
      if (known && uri.getHost() != null && uri.getPort() > 0 && uri.getPath().isEmpty()) {
        return new Server(uri);
      }
    } catch (URISyntaxException e) {
      // Told below, as any other malformed server.
    }
    throw new CommandFailure(ExitCode.USAGE, Messages.BAD_SERVER.formatted(text));
  }

  /**
   * Tells whether the connection is encrypted.
   *
   * @return true for https
   */
  public boolean isSecure() {
    return SECURE.equals(uri.getScheme());
  }

  /**
   * The header {@code Host}.
   *
   * @return host and port
   */
  public String authority() {
    return uri.getAuthority();
  }

  @Override
  public String toString() {
    return uri.getAuthority();
  }
}
