/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.io.IOException;

/**
 * Handles the HTTP calls to a stand-in.
 *
 * <p>Each call is handled on its own virtual thread, so implementations may block and must be safe
 * for use by several threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface CallHandler {
  /**
   * Handles one call and answers it.
   *
   * @param call the call
   * @throws IOException if the connection breaks; the server then closes it
   * @throws InterruptedException if the stand-in stops; the server then closes the connection
   */
  void handle(Call call) throws IOException, InterruptedException;
}
