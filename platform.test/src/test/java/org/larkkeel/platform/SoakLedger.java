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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records the requests that callers sent, the runs at runners and the violations of rules.
 *
 * <p>Safe for use by several threads.
 */
final class SoakLedger {
  /** A request as its caller sent it, and the node that received it. */
  record Sent(int node, String method, String path, String body, boolean runsOnce) {}

  private static final int MAX_DETAIL = 1_000;

  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, Integer> refused = new ConcurrentHashMap<>();
  private final Set<String> flooded = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<String> brokenRules = new ConcurrentLinkedQueue<>();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final AtomicInteger running = new AtomicInteger();
  private final SoakRetryBudget retryBudget = new SoakRetryBudget();

  void sent(String id, Sent request) {
    sent.put(id, request);
    retryBudget.requested(Soak.serviceOf(request.path()));
  }

  /** Records the start of a run, and checks it against the request that was sent. */
  void runStarted(String id, String method, String path, String body, boolean resumes) {
    Sent s = sent.get(id);
    if (s == null
        || !s.method().equals(method)
        || !s.path().equals(path)
        || !s.body().equals(body)) {
      violation("unasked", id + " " + method + " " + path);
      return;
    }
    int n = runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
    if (n > 1 && s.runsOnce()) {
      violation("twice", id + " " + path);
    }
    if (resumes && s.runsOnce()) {
      violation("resumed", id + " " + path);
    }
  }

  /** Returns the node that a request was sent to; empty if no caller sent it. */
  OptionalInt nodeOf(String id) {
    Sent s = sent.get(id);
    return s == null ? OptionalInt.empty() : OptionalInt.of(s.node());
  }

  /** Records a request to which a runner answers without end. */
  void flooded(String id) {
    flooded.add(id);
  }

  /** Returns whether a runner answered a request without end, so that its body is not known. */
  boolean wasFlooded(String id) {
    return flooded.contains(id);
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

  /** Records a violation, on one line and without the rest of long answers. */
  void violation(String rule, String detail) {
    String line = rule + " " + detail.replaceAll("\\R", "\\\\n");
    brokenRules.add(line.substring(0, Math.min(line.length(), MAX_DETAIL)));
  }

  SoakRetryBudget retryBudget() {
    return retryBudget;
  }

  AtomicInteger running() {
    return running;
  }

  /** Returns all violations, including refused requests that ran. */
  List<String> violations() {
    List<String> all = new ArrayList<>(brokenRules);
    refused.forEach(
        (id, status) -> {
          if (runs.containsKey(id)) {
            all.add("refused " + id + " got status " + status + " but ran");
          }
        });
    return all;
  }

  Map<String, AtomicInteger> outcomes() {
    return outcomes;
  }
}
