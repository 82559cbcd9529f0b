/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What an engine saw, over all its incarnations.
 *
 * <p>Invariant: each accepted prefill and import has exactly one entry an incarnation, whose fate
 * is final once it is not {@link Fate#ACTIVE}. Grows with the number of requests. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class EngineLedger {
  private final Map<Key, Work> prefills = new LinkedHashMap<>();
  private final Map<Key, Work> imports = new LinkedHashMap<>();
  private final Map<String, Integer> decodes = new HashMap<>();
  private final Set<String> slots = new LinkedHashSet<>();
  private long decodedTokens;

  private record Key(long incarnation, String id) {}

  /**
   * What became of a KV cache.
   *
   * @since 0.1
   */
  public enum Fate {
    /** It is being made or is held. */
    ACTIVE,
    /** Another engine took it. */
    IMPORTED,
    /** Its answer was written to the end. */
    DECODED,
    /** It was dropped because its time was over or memory was emptied. */
    EVICTED,
    /** The router cancelled it. */
    CANCELLED,
    /** It went with its engine, or its import failed. */
    LOST
  }

  /**
   * One prefill or one import.
   *
   * @param id the request id
   * @param promptTokens the tokens of the prompt
   * @param workedTokens the tokens computed so far, without cached ones; for an import, all
   * @param fate what became of the KV cache
   * @since 0.1
   */
  public record Work(String id, int promptTokens, int workedTokens, Fate fate) {
    private boolean wasted() {
      return fate == Fate.EVICTED || fate == Fate.CANCELLED || fate == Fate.LOST;
    }
  }

  /**
   * A consistent view of the ledger.
   *
   * @param prefills the prefills in the order of their start
   * @param imports the imports in the order of their start
   * @param decodes the number of decode executions by request id
   * @param slots the ids of the requests that hold a slot now
   * @param decodedTokens the tokens written
   * @since 0.1
   */
  public record Snapshot(
      ImmutableList<Work> prefills,
      ImmutableList<Work> imports,
      ImmutableMap<String, Integer> decodes,
      ImmutableSet<String> slots,
      long decodedTokens) {

    /**
     * The prompt tokens computed.
     *
     * @return the sum over all prefills
     */
    public long prefilledTokens() {
      return prefills.stream().mapToLong(Work::workedTokens).sum();
    }

    /**
     * The prompt tokens computed here whose KV cache was never imported.
     *
     * @return the sum over prefills evicted, cancelled or lost
     */
    public long wastedPrefillTokens() {
      return prefills.stream().filter(Work::wasted).mapToLong(Work::workedTokens).sum();
    }

    /**
     * The prompt tokens imported here whose answer was not written to the end here.
     *
     * @return the sum over imports evicted, cancelled or lost
     */
    public long abandonedImportTokens() {
      return imports.stream().filter(Work::wasted).mapToLong(Work::workedTokens).sum();
    }
  }

  /**
   * Records a prefill's start or progress.
   *
   * @param incarnation the engine's incarnation
   * @param id the request id
   * @param promptTokens the tokens of the prompt
   * @param workedTokens the tokens computed so far
   */
  public synchronized void prefill(
      long incarnation, String id, int promptTokens, int workedTokens) {
    prefills.put(new Key(incarnation, id), new Work(id, promptTokens, workedTokens, Fate.ACTIVE));
  }

  /**
   * Records an import's start.
   *
   * @param incarnation the engine's incarnation
   * @param id the request id
   * @param promptTokens the tokens of the prompt
   */
  public synchronized void startImport(long incarnation, String id, int promptTokens) {
    imports.put(new Key(incarnation, id), new Work(id, promptTokens, promptTokens, Fate.ACTIVE));
  }

  /**
   * Records the end of a prefill's or import's KV cache; only the first fate counts.
   *
   * @param incarnation the engine's incarnation
   * @param id the request id
   * @param fate what became of it
   */
  public synchronized void end(long incarnation, String id, Fate fate) {
    Key key = new Key(incarnation, id);
    prefills.computeIfPresent(key, (k, work) -> withFate(work, fate));
    imports.computeIfPresent(key, (k, work) -> withFate(work, fate));
  }

  /**
   * Records the loss of all that an incarnation held.
   *
   * @param incarnation the engine's incarnation
   */
  public synchronized void loseAll(long incarnation) {
    prefills.replaceAll((k, w) -> k.incarnation == incarnation ? withFate(w, Fate.LOST) : w);
    imports.replaceAll((k, w) -> k.incarnation == incarnation ? withFate(w, Fate.LOST) : w);
    slots.clear();
  }

  /**
   * Records that a slot was taken or freed.
   *
   * @param id the request id
   * @param taken true if it was taken
   */
  public synchronized void slot(String id, boolean taken) {
    if (taken) {
      slots.add(id);
    } else {
      slots.remove(id);
    }
  }

  /**
   * Records the start of a decode execution.
   *
   * @param id the request id
   */
  public synchronized void decode(String id) {
    decodes.merge(id, 1, Integer::sum);
  }

  /**
   * Records tokens written.
   *
   * @param count the number of tokens
   */
  public synchronized void decoded(int count) {
    decodedTokens += count;
  }

  /**
   * Copies the ledger.
   *
   * @return a consistent view
   */
  public synchronized Snapshot snapshot() {
    return new Snapshot(
        ImmutableList.copyOf(prefills.values()),
        ImmutableList.copyOf(imports.values()),
        ImmutableMap.copyOf(decodes),
        ImmutableSet.copyOf(slots),
        decodedTokens);
  }

  private static Work withFate(Work work, Fate fate) {
    if (work.fate != Fate.ACTIVE) {
      return work;
    }
    return new Work(work.id, work.promptTokens, work.workedTokens, fate);
  }
}
