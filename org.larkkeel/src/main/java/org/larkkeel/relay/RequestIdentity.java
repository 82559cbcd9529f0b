/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.nio.charset.StandardCharsets;
import org.larkkeel.lib.Fingerprint;

/**
 * What makes two calls the same request: method, host, target, caller and body.
 *
 * <p>The fingerprint is computed when it is first asked for, as few calls ever need one. Not safe
 * for use by several threads.
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
   * Names a request.
   *
   * @param method the method
   * @param host the host that it names
   * @param target path and query
   * @param caller tells callers apart; empty for those without a key
   * @param body the whole body, which is not copied and must not change
   */
  public RequestIdentity(String method, String host, String target, String caller, byte[] body) {
    this.method = method;
    this.host = host;
    this.target = target;
    this.caller = caller;
    this.body = body;
  }

  /** The same for all calls that are the same request, on every node. */
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
