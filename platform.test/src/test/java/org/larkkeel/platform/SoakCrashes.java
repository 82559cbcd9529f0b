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
 * Sends requests that crash each runner that starts to run them to any node, and checks that nodes
 * stop sending them to runners: one request that is repeated after its third crash, and different
 * ones that share a part of their prompts after the fifth. Some crash runners after the first
 * event, and some are resumable, so that nodes retry them.
 *
 * <p>Safe for use by several threads.
 */
final class SoakCrashes {
  private static final String BODY = "crash-";
  private static final String PART = "crash-part-";
  private static final int REQUESTS = 2;
  private static final int PARTS = 2;

  /** The number of parts of prompts that the requests of other callers share. */
  private static final int DOCUMENTS = 6;

  private static final int MAX_CRASHES = 3;
  private static final int MAX_CRASHES_OF_PART = 5;

  /** Attempts that may still reach runners after nodes had the time to learn of the third crash. */
  private static final int MAX_ATTEMPTS_AFTER = 3;

  private static final long KNOWN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Soak soak;
  private final SoakLedger ledger;
  private final SplittableRandom random;
  private final Map<String, History> histories = new HashMap<>();
  private int sent;

  /** The crashes of one request or part, and its attempts after the last one allowed. */
  private static final class History {
    private final List<Long> crashes = new ArrayList<>();
    private int attemptsAfter;
  }

  SoakCrashes(Soak soak, SoakLedger ledger, SplittableRandom random) {
    this.soak = soak;
    this.ledger = ledger;
    this.random = random;
  }

  /**
   * Returns whether the requests with a cause of crashes are resumable, so that nodes retry them.
   */
  private static boolean isResumable(String body) {
    return Math.floorMod(cause(body).hashCode(), 4) < 2;
  }

  /** Returns whether a request crashes its runner after the first event of its stream. */
  static boolean crashesAfterFirstEvent(RawServer.Request request) {
    return Math.floorMod(cause(request.body()).hashCode(), 2) == 1;
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
    sent++;
    String body =
        random.nextBoolean()
            ? BODY + random.nextInt(REQUESTS)
            : PART + random.nextInt(PARTS) + "." + sent;
    int node = soak.pickNode(random);
    String name = body + "-" + sent;
    Thread.ofVirtual().start(() -> send(name, node, body));
    soak.after(random.nextInt(100, 500), this::sendNext);
  }

  private void send(String name, int node, String body) {
    SoakCaller caller = new SoakCaller(soak, ledger, name, sent);
    try {
      caller.connect(node);
      caller.requestWithBody(isResumable(body) ? "resume" : "stream", body);
    } catch (IOException e) {
      // The node is not running.
    } finally {
      caller.disconnect();
    }
  }

  /** Returns what crashes runners in a request: a part of its prompt, or the whole body. */
  private static String cause(String body) {
    return body.startsWith(PART) ? body.substring(0, body.indexOf('.')) : body;
  }

  /** Returns the header with the parts of a request's prompt. */
  static String promptOf(String id) {
    String shared =
        id.startsWith(PART) ? cause(id) : "document-" + Math.floorMod(id.hashCode(), DOCUMENTS);
    return "X-Prefix-Hash: first:400," + shared + ":400," + id + ":200";
  }

  /** Records that a request has reached a runner, for a run or a prefill. */
  synchronized void reached(String wire, String body) {
    History h = histories.computeIfAbsent(cause(body), b -> new History());
    int allowed = body.startsWith(PART) ? MAX_CRASHES_OF_PART : MAX_CRASHES;
    if (h.crashes.size() < allowed
        || System.nanoTime() - h.crashes.get(allowed - 1) < KNOWN_AFTER_NANOS) {
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
    histories.computeIfAbsent(cause(body), b -> new History()).crashes.add(System.nanoTime());
  }
}
