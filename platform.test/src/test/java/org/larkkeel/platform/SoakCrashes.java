/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests that crash each runner that starts to run them, repeatedly and to any node, and
 * checks that nodes stop sending a request to runners after its third crash.
 *
 * <p>Safe for use by several threads.
 */
final class SoakCrashes {
  private static final String BODY = "crash-";
  private static final int REQUESTS = 2;
  private static final int MAX_CRASHES = 3;

  /** Attempts that may still reach runners after nodes had the time to learn of the third crash. */
  private static final int MAX_ATTEMPTS_AFTER = 3;

  private static final long KNOWN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Soak soak;
  private final SoakLedger ledger;
  private final SplittableRandom random;
  private final Map<String, History> histories = new HashMap<>();
  private int sent;

  /** The crashes of one request, and its attempts after the third. */
  private static final class History {
    private final List<Long> crashes = new ArrayList<>();
    private int attemptsAfter;
  }

  SoakCrashes(Soak soak, SoakLedger ledger, SplittableRandom random) {
    this.soak = soak;
    this.ledger = ledger;
    this.random = random;
  }

  static boolean isCrashing(RawServer.Request request) {
    return request.body().startsWith(BODY);
  }

  /** Returns the number of crashes of all requests. */
  synchronized int crashes() {
    return histories.values().stream().mapToInt(h -> h.crashes.size()).sum();
  }

  /** Sends crashing requests until the load ends. */
  void sendNext() {
    if (!soak.isLoaded()) {
      return;
    }
    String body = BODY + random.nextInt(REQUESTS);
    int node = soak.pickNode(random);
    String name = body + "-" + ++sent;
    Thread.ofVirtual().start(() -> send(name, node, body));
    soak.after(random.nextInt(100, 500), this::sendNext);
  }

  private void send(String name, int node, String body) {
    SoakCaller caller = new SoakCaller(soak, ledger, name, sent);
    try {
      caller.connect(node);
      caller.requestWithBody(body);
    } catch (IOException e) {
      // The node is not running.
    } finally {
      caller.disconnect();
    }
  }

  /** Records that a request has reached a runner, for a run or a prefill. */
  synchronized void reached(String wire, String body) {
    History h = histories.computeIfAbsent(body, b -> new History());
    if (h.crashes.size() < MAX_CRASHES
        || System.nanoTime() - h.crashes.get(MAX_CRASHES - 1) < KNOWN_AFTER_NANOS) {
      return;
    }
    ledger
        .nodeOf(wire)
        .ifPresent(
            node -> {
              if (soak.isConnected(node) && ++h.attemptsAfter > MAX_ATTEMPTS_AFTER) {
                ledger.violation(
                    "budget", wire + " reached a runner after " + h.crashes.size() + " crashes");
              }
            });
  }

  /** Records that a request has crashed a runner. */
  synchronized void crashed(String body) {
    histories.computeIfAbsent(body, b -> new History()).crashes.add(System.nanoTime());
  }
}
