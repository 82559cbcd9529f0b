/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.io.IOException;

/**
 * Answers calls; runs on a thread of its own for each call and may block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface CallHandler {
  /**
   * Answers one call.
   *
   * @param call the call
   * @throws IOException if the connection breaks; the connection is then closed
   * @throws InterruptedException if the stand-in stops; the connection is then closed
   */
  void handle(Call call) throws IOException, InterruptedException;
}
