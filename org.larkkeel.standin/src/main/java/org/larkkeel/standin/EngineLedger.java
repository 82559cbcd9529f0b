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
 * Records the requests that an engine executed, over all its incarnations.
 *
 * <p>Invariant: each accepted prefill and import has exactly one entry per incarnation, whose fate
 * is final once it is not {@link Fate#ACTIVE}. Entries are never removed, so memory grows with the
 * number of requests. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class EngineLedger {
  private final Map<Key, KvCacheRecord> prefills = new LinkedHashMap<>();
  private final Map<Key, KvCacheRecord> imports = new LinkedHashMap<>();
  private final Map<String, Integer> decodes = new HashMap<>();
  private final Set<String> slots = new LinkedHashSet<>();
  private long decodedTokens;

  private record Key(long incarnation, String id) {}

  /**
   * The state of a KV cache, or how it ended.
   *
   * @since 0.1
   */
  public enum Fate {
    /** It is being computed or imported, or is held. */
    ACTIVE,
    /** Another engine imported it. */
    IMPORTED,
    /** Its answer was decoded completely. */
    DECODED,
    /** It was dropped because it expired or because all memory was cleared. */
    EVICTED,
    /** Its request was cancelled. */
    CANCELLED,
    /** Its incarnation ended, or its import failed. */
    LOST
  }

  /**
   * The KV cache of one prefill or one import.
   *
   * @param id the request id
   * @param promptTokens the tokens of the prompt
   * @param workedTokens the tokens computed so far, excluding tokens from the prefix cache; for an
   *     import, all tokens of the prompt
   * @param fate the state of the KV cache, or how it ended
   * @since 0.1
   */
  public record KvCacheRecord(String id, int promptTokens, int workedTokens, Fate fate) {
    private boolean hasWastedTokens() {
      return fate == Fate.EVICTED || fate == Fate.CANCELLED || fate == Fate.LOST;
    }
  }

  /**
   * A consistent view of the ledger.
   *
   * @param prefills the prefills in the order of their start
   * @param imports the imports in the order of their start
   * @param decodes the number of decodes started, by request id
   * @param slots the ids of the requests that hold a slot
   * @param decodedTokens the number of tokens decoded
   * @since 0.1
   */
  public record Snapshot(
      ImmutableList<KvCacheRecord> prefills,
      ImmutableList<KvCacheRecord> imports,
      ImmutableMap<String, Integer> decodes,
      ImmutableSet<String> slots,
      long decodedTokens) {

    /**
     * Returns the number of prompt tokens computed.
     *
     * @return the sum over all prefills
     */
    public long prefilledTokens() {
      return prefills.stream().mapToLong(KvCacheRecord::workedTokens).sum();
    }

    /**
     * Returns the number of prompt tokens computed here whose KV cache was never imported.
     *
     * @return the sum over prefills evicted, cancelled or lost
     */
    public long wastedPrefillTokens() {
      return prefills.stream()
          .filter(KvCacheRecord::hasWastedTokens)
          .mapToLong(KvCacheRecord::workedTokens)
          .sum();
    }

    /**
     * Returns the number of prompt tokens imported here whose answer was not completed here.
     *
     * @return the sum over imports evicted, cancelled or lost
     */
    public long abandonedImportTokens() {
      return imports.stream()
          .filter(KvCacheRecord::hasWastedTokens)
          .mapToLong(KvCacheRecord::workedTokens)
          .sum();
    }
  }

  /**
   * Records the start or the progress of a prefill.
   *
   * @param incarnation the engine's incarnation
   * @param id the request id
   * @param promptTokens the tokens of the prompt
   * @param workedTokens the tokens computed so far, excluding tokens from the prefix cache
   */
  public synchronized void recordPrefill(
      long incarnation, String id, int promptTokens, int workedTokens) {
    prefills.put(
        new Key(incarnation, id), new KvCacheRecord(id, promptTokens, workedTokens, Fate.ACTIVE));
  }

  /**
   * Records the start of an import.
   *
   * @param incarnation the engine's incarnation
   * @param id the request id
   * @param promptTokens the tokens of the prompt
   */
  public synchronized void recordImport(long incarnation, String id, int promptTokens) {
    imports.put(
        new Key(incarnation, id), new KvCacheRecord(id, promptTokens, promptTokens, Fate.ACTIVE));
  }

  /**
   * Records the end of the KV cache of a prefill or import. Later calls for it have no effect.
   *
   * @param incarnation the engine's incarnation
   * @param id the request id
   * @param fate how the KV cache ended
   */
  public synchronized void recordEnd(long incarnation, String id, Fate fate) {
    Key key = new Key(incarnation, id);
    prefills.computeIfPresent(key, (k, work) -> withFate(work, fate));
    imports.computeIfPresent(key, (k, work) -> withFate(work, fate));
  }

  /**
   * Records the end of an incarnation: its active KV caches are lost and no slot is held.
   *
   * @param incarnation the engine's incarnation
   */
  public synchronized void recordLostIncarnation(long incarnation) {
    prefills.replaceAll((k, w) -> k.incarnation == incarnation ? withFate(w, Fate.LOST) : w);
    imports.replaceAll((k, w) -> k.incarnation == incarnation ? withFate(w, Fate.LOST) : w);
    slots.clear();
  }

  /**
   * Records that a request reserved or released a slot.
   *
   * @param id the request id
   * @param reserved true if the slot was reserved, false if it was released
   */
  public synchronized void recordSlot(String id, boolean reserved) {
    if (reserved) {
      slots.add(id);
    } else {
      slots.remove(id);
    }
  }

  /**
   * Records the start of a decode.
   *
   * @param id the request id
   */
  public synchronized void recordDecode(String id) {
    decodes.merge(id, 1, Integer::sum);
  }

  /**
   * Adds to the number of tokens decoded.
   *
   * @param count the number of tokens
   */
  public synchronized void recordDecodedTokens(int count) {
    decodedTokens += count;
  }

  /**
   * Returns a copy of the ledger.
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

  private static KvCacheRecord withFate(KvCacheRecord work, Fate fate) {
    if (work.fate != Fate.ACTIVE) {
      return work;
    }
    return new KvCacheRecord(work.id, work.promptTokens, work.workedTokens, fate);
  }
}
