/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import com.google.common.collect.ImmutableSet;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * The hop-by-hop headers: they belong to one connection and are not forwarded (RFC 9110, section
 * 7.6.1).
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class HopHeaders {
  private static final ImmutableSet<HttpString> NAMES =
      ImmutableSet.of(
          Headers.CONNECTION,
          Headers.CONTENT_LENGTH,
          Headers.EXPECT,
          Headers.HOST,
          Headers.PROXY_AUTHENTICATE,
          Headers.PROXY_AUTHORIZATION,
          Headers.TE,
          Headers.TRAILER,
          Headers.TRANSFER_ENCODING,
          Headers.UPGRADE,
          new HttpString("Keep-Alive"),
          new HttpString("Proxy-Connection"));

  private HopHeaders() {}

  /**
   * Returns whether a header is a hop-by-hop header.
   *
   * @param name the name of the header
   * @return true if the header must not be forwarded
   */
  public static boolean isHop(HttpString name) {
    return NAMES.contains(name);
  }
}
