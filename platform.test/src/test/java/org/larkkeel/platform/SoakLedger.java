/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What callers sent, what runners ran, and which promises were broken.
 *
 * <p>Safe for use by several threads.
 */
final class SoakLedger {
  /** A request as its caller sent it, and to which node. */
  record Sent(int node, String method, String path, String body, boolean runsOnce) {}

  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, Integer> refused = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final AtomicInteger running = new AtomicInteger();

  void sent(String id, Sent request) {
    sent.put(id, request);
  }

  /** A runner begins to work. */
  void begins(String id, String method, String path, String body, boolean goesOn) {
    Sent s = sent.get(id);
    if (s == null
        || !s.method().equals(method)
        || !s.path().equals(path)
        || !s.body().equals(body)) {
      broken("unasked", id + " " + method + " " + path);
      return;
    }
    int n = runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
    if (n > 1 && s.runsOnce()) {
      broken("twice", id + " " + path);
    }
    if (goesOn && s.runsOnce()) {
      broken("resumed", id + " " + path);
    }
  }

  /** The node that a request was sent to; empty if no caller sent it. */
  OptionalInt nodeOf(String id) {
    Sent s = sent.get(id);
    return s == null ? OptionalInt.empty() : OptionalInt.of(s.node());
  }

  boolean hasRun(String id) {
    return runs.containsKey(id);
  }

  void refused(String id, int status) {
    refused.put(id, status);
  }

  void outcome(String name) {
    outcomes.computeIfAbsent(name, n -> new AtomicInteger()).incrementAndGet();
  }

  void broken(String rule, String detail) {
    broken.add(rule + " " + detail);
  }

  AtomicInteger running() {
    return running;
  }

  /** What was broken, with the refusals that were no truth. */
  List<String> verdict() {
    List<String> all = new ArrayList<>(broken);
    refused.forEach(
        (id, status) -> {
          if (runs.containsKey(id)) {
            all.add("refused " + id + " was told " + status + " and ran");
          }
        });
    return all;
  }

  Map<String, AtomicInteger> outcomes() {
    return outcomes;
  }
}
