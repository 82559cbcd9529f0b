/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * The settings of connections to the operators' API; the text form omits the token.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param servers the servers to try in turn, at least one
 * @param token the bearer token, empty if there is none
 * @param timeout the timeout of each attempt at a server
 * @param tls the TLS context for https servers
 * @since 0.1
 */
public record ClientSettings(
    ImmutableList<Server> servers, Optional<String> token, Duration timeout, SSLContext tls) {
  @Override
  public String toString() {
    return "ClientSettings[servers=" + servers + ", timeout=" + timeout + "]";
  }
}
