/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.Comparator;

/**
 * The calls of a queue that only fairness and arrival order among themselves: streaming calls go
 * first, then the more urgent rank, then the calls on time.
 *
 * <p>Immutable and safe for use by several threads.
 */
record QueueClass<R extends Comparable<R>>(boolean streaming, R rank, WaitGroup group) {
  static <R extends Comparable<R>> Comparator<QueueClass<R>> order() {
    return Comparator.comparing((QueueClass<R> c) -> !c.streaming())
        .thenComparing(QueueClass::rank)
        .thenComparing(QueueClass::group);
  }
}
