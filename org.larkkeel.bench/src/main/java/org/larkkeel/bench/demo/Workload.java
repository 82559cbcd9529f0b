/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import java.util.SplittableRandom;

/** Generates the mixed load of the demo from a seed. Not safe for use by several threads. */
final class Workload {
  private static final double COMPLETION_SHARE = 0.12;
  private static final double ORDER_SHARE = 0.18;
  private static final int SHARED_CLAUSES = 4;
  private static final int MIN_WORDS = 400;
  private static final int MAX_WORDS = 6_000;
  private static final int MIN_TOKENS = 24;
  private static final int MAX_TOKENS = 96;
  private static final String[] WORDS = {
    "lana", "telar", "cesta", "barro", "precio", "feria", "andamio", "carga", "plano", "norma"
  };

  private final SplittableRandom random;
  private final long seed;
  private long next;

  Workload(long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
  }

  DemoRequest next() {
    next++;
    double share = random.nextDouble();
    if (share < COMPLETION_SHARE) {
      return new DemoRequest.Dossier(prompt(), random.nextInt(MIN_TOKENS, MAX_TOKENS + 1));
    }
    if (share < COMPLETION_SHARE + ORDER_SHARE) {
      return new DemoRequest.Order(
          "/orders", "order-" + seed + "-" + next, "key-" + seed + "-" + next);
    }
    return new DemoRequest.Lookup("/catalogue/item-" + random.nextInt(1_000) + "?n=" + next);
  }

  /** Returns a prompt with one of a few common beginnings, so that prefix caches matter. */
  private String prompt() {
    StringBuilder text = new StringBuilder();
    text.append("clauses ").append(random.nextInt(SHARED_CLAUSES)).append('\n');
    int words = random.nextInt(MIN_WORDS, MAX_WORDS);
    for (int i = 0; i < words; i++) {
      text.append(WORDS[random.nextInt(WORDS.length)]).append(' ');
    }
    return text.append("dossier ").append(seed).append(' ').append(next).toString();
  }
}
