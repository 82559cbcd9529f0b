/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.nio.charset.StandardCharsets;
import org.larkkeel.lib.Fingerprint;

/**
 * The identity of a request: method, host, target, caller and body. Calls with equal identities are
 * the same request.
 *
 * <p>The fingerprint is computed on first use, as few calls need it. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class RequestIdentity {
  private final String method;
  private final String host;
  private final String target;
  private final String caller;
  private final byte[] body;
  private Fingerprint fingerprint;

  /**
   * Creates the identity of a request.
   *
   * @param method the method
   * @param host the host that the request names
   * @param target the path and query
   * @param caller distinguishes callers; empty for callers without a key
   * @param body the complete body, which is not copied and must not change
   */
  public RequestIdentity(String method, String host, String target, String caller, byte[] body) {
    this.method = method;
    this.host = host;
    this.target = target;
    this.caller = caller;
    this.body = body;
  }

  /**
   * Returns the fingerprint, which is equal on all nodes for all calls that are the same request.
   */
  public Fingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = Fingerprint.of(utf8(method), utf8(host), utf8(target), utf8(caller), body);
    }
    return fingerprint;
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
