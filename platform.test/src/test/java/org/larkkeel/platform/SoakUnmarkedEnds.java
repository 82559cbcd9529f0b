/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The answers of one runner that end with their connection. Which ones do depends on the request
 * alone.
 *
 * <p>Safe for use by several threads.
 */
final class SoakUnmarkedEnds {
  /** One answer in this many ends with its connection. */
  private static final int ONE_IN = 8;

  /** The same while carriers and runners are killed. */
  private static final int ONE_IN_BESIDE_KILLS = 2;

  /** Spreads the ids of one caller, whose hash codes follow each other. */
  private static final int MULTIPLIER = 0x9E3779B9;

  private final SoakLedger ledger;
  private final Set<SoakAnswerBody.UntilClose> open = ConcurrentHashMap.newKeySet();

  SoakUnmarkedEnds(SoakLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns whether the answer to a request ends with its connection. */
  static boolean covers(String request) {
    int oneIn = Soak.killsCarriers() ? ONE_IN_BESIDE_KILLS : ONE_IN;
    return Math.floorMod(request.hashCode() * MULTIPLIER >>> 8, oneIn) == 0;
  }

  /** A script that writes an answer. */
  interface Writer {
    void write(SoakAnswerBody body) throws Exception;
  }

  /** Lets a script write an answer that ends with a connection. */
  void write(Socket socket, Writer writer) throws Exception {
    SoakAnswerBody.UntilClose body = new SoakAnswerBody.UntilClose(socket);
    open.add(body);
    boolean ended = false;
    try {
      writer.write(body);
      ended = true;
    } finally {
      open.remove(body);
      ledger.outcome(ended ? "unmarked-ended" : "unmarked-broken");
    }
  }

  /**
   * Resets all connections with such an answer, when the work of a runner is lost and its process
   * goes on: a close in order would be the end of the answer.
   */
  void resetAll() {
    for (SoakAnswerBody.UntilClose body : open) {
      try {
        body.reset();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }
}
