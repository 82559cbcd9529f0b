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
 * How to reach the operators' API.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param servers tried in turn, at least one
 * @param token the bearer token, empty if there is none
 * @param timeout for each attempt at one server
 * @param tls for servers with https
 * @since 0.1
 */
public record ClientSettings(
    ImmutableList<Server> servers, Optional<String> token, Duration timeout, SSLContext tls) {
  @Override
  public String toString() {
    return "ClientSettings[servers=" + servers + ", timeout=" + timeout + "]";
  }
}
