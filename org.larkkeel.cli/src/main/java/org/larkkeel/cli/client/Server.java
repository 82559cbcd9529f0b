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
 * The address of a node's operators' API.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param uri scheme, host and port
 * @since 0.1
 */
public record Server(URI uri) {
  private static final String HTTP = "http";
  private static final String HTTPS = "https";
  private static final String SCHEME_SEPARATOR = "://";

  /**
   * Parses the address of a server.
   *
   * @param text {@code HOST:PORT}, {@code http://HOST:PORT} or {@code https://HOST:PORT}
   * @return the server
   * @throws CommandFailure of {@link ExitCode#USAGE} if the text is malformed
   */
  public static Server parse(String text) {
    String uriText = text.contains(SCHEME_SEPARATOR) ? text : HTTP + SCHEME_SEPARATOR + text;
    try {
      URI uri = new URI(uriText);
      boolean supportedScheme = HTTP.equals(uri.getScheme()) || HTTPS.equals(uri.getScheme());
      if (supportedScheme
          && uri.getHost() != null
          && uri.getPort() > 0
          && uri.getPath().isEmpty()) {
        return new Server(uri);
      }
    } catch (URISyntaxException e) {
      // Reported below, like any other malformed address.
    }
    throw new CommandFailure(ExitCode.USAGE, Messages.BAD_SERVER.formatted(text));
  }

  /**
   * Returns whether the connection is encrypted.
   *
   * @return true for https
   */
  public boolean isSecure() {
    return HTTPS.equals(uri.getScheme());
  }

  /**
   * Returns the value of the header {@code Host}.
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
