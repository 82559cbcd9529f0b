/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/**
 * A request of the relay itself to an upstream, not made for the answer of a caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param method the method
 * @param path the path
 * @param body the body, JSON; empty for none
 * @since 0.1
 */
public record ControlCall(HttpString method, String path, String body) {
  /** Returns a call that changes something. */
  public static ControlCall post(String path, String body) {
    return new ControlCall(Methods.POST, path, body);
  }

  /** Returns a call that only reads. */
  public static ControlCall get(String path) {
    return new ControlCall(Methods.GET, path, "");
  }
}
