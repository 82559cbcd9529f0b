/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the executions and lookups of a service.
 *
 * <p>Entries are never removed, so memory grows with the number of references and keys. Safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class ServiceLedger {
  private final Map<String, Integer> byReference = new HashMap<>();
  private final Map<String, Integer> byKey = new HashMap<>();
  private long lookups;
  private long refused;

  /**
   * A consistent view of the ledger.
   *
   * @param byReference the number of executions by the value of the reference field
   * @param byKey the number of executions by {@code Idempotency-Key}
   * @param lookups the number of lookups
   * @param refused the number of calls refused without execution
   * @since 0.1
   */
  public record Snapshot(
      ImmutableMap<String, Integer> byReference,
      ImmutableMap<String, Integer> byKey,
      long lookups,
      long refused) {

    /**
     * Returns the number of references that were executed more than once.
     *
     * @return the number of references
     */
    public long duplicated() {
      return byReference.values().stream().filter(n -> n > 1).count();
    }
  }

  /**
   * Records an execution.
   *
   * @param reference the value of the reference field
   * @param key the idempotency key, null if there is none
   * @return the number of executions of the reference, including this one
   */
  public synchronized int recordRun(String reference, String key) {
    if (key != null) {
      byKey.merge(key, 1, Integer::sum);
    }
    return byReference.merge(reference, 1, Integer::sum);
  }

  /** Records a lookup. */
  public synchronized void recordLookup() {
    lookups++;
  }

  /** Records a call refused without execution. */
  public synchronized void recordRefusal() {
    refused++;
  }

  /**
   * Returns a copy of the ledger.
   *
   * @return a consistent view
   */
  public synchronized Snapshot snapshot() {
    return new Snapshot(
        ImmutableMap.copyOf(byReference), ImmutableMap.copyOf(byKey), lookups, refused);
  }
}
