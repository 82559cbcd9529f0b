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
 * What a service ran.
 *
 * <p>Grows with the number of references and keys. Safe for use by several threads.
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
   * @param byReference executions by the value of the reference field
   * @param byKey executions by {@code Idempotency-Key}
   * @param lookups lookups answered
   * @param refused calls refused as not run
   * @since 0.1
   */
  public record Snapshot(
      ImmutableMap<String, Integer> byReference,
      ImmutableMap<String, Integer> byKey,
      long lookups,
      long refused) {

    /**
     * The references that ran more than once.
     *
     * @return their number
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
   * @return how many times the reference has now run
   */
  public synchronized int run(String reference, String key) {
    if (key != null) {
      byKey.merge(key, 1, Integer::sum);
    }
    return byReference.merge(reference, 1, Integer::sum);
  }

  /** Records a lookup. */
  public synchronized void lookup() {
    lookups++;
  }

  /** Records a call refused as not run. */
  public synchronized void refuse() {
    refused++;
  }

  /**
   * Copies the ledger.
   *
   * @return a consistent view
   */
  public synchronized Snapshot snapshot() {
    return new Snapshot(
        ImmutableMap.copyOf(byReference), ImmutableMap.copyOf(byKey), lookups, refused);
  }
}
