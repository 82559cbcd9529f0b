/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * Slots, KV memory and link of an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the requests that a decode engine holds at most
 * @param queueLimit the prefills that wait at most
 * @param kvPieces the KV pieces (2,000 tokens each) that requests may hold
 * @param prefixPieces the KV pieces of the prefix cache
 * @param kvBytesPerToken the size of the KV cache of a token, in bytes
 * @param linkBytesPerSecond the rate of the link that imports share, in bytes a second
 * @param evictMillis how long a KV cache is held unless it is imported, in milliseconds
 * @param exportMillis how long an import may take before the source evicts, in milliseconds
 * @since 0.1
 */
public record EngineMemory(
    int slots,
    int queueLimit,
    int kvPieces,
    int prefixPieces,
    long kvBytesPerToken,
    long linkBytesPerSecond,
    long evictMillis,
    long exportMillis) {
  /** Twenty slots; a prompt of 2,000 tokens takes 32 ms on the link. */
  public static final EngineMemory DEFAULTS =
      new EngineMemory(20, 64, 400, 200, 160_000, 10_000_000_000L, 800, 5_000);

  /**
   * Changes the slots.
   *
   * @param value the requests that a decode engine holds at most
   * @return a copy
   */
  public EngineMemory withSlots(int value) {
    return new EngineMemory(
        value,
        queueLimit,
        kvPieces,
        prefixPieces,
        kvBytesPerToken,
        linkBytesPerSecond,
        evictMillis,
        exportMillis);
  }

  /**
   * Changes the time until an unimported KV cache is evicted.
   *
   * @param value milliseconds
   * @return a copy
   */
  public EngineMemory withEvictMillis(long value) {
    return new EngineMemory(
        slots,
        queueLimit,
        kvPieces,
        prefixPieces,
        kvBytesPerToken,
        linkBytesPerSecond,
        value,
        exportMillis);
  }

  /**
   * Changes the rate of the link.
   *
   * @param value bytes a second
   * @return a copy
   */
  public EngineMemory withLinkBytesPerSecond(long value) {
    return new EngineMemory(
        slots,
        queueLimit,
        kvPieces,
        prefixPieces,
        kvBytesPerToken,
        value,
        evictMillis,
        exportMillis);
  }
}
