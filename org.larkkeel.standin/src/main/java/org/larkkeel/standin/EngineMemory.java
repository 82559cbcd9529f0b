/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The slots, the KV memory and the KV transfer link of an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the maximum number of requests that a decode engine holds
 * @param queueLimit the maximum number of queued prefills
 * @param kvPieces the number of KV pieces (2,000 tokens each) for requests
 * @param prefixPieces the number of KV pieces for the prefix cache
 * @param kvBytesPerToken the size of the KV cache of one token, in bytes
 * @param linkBytesPerSecond the rate of the link that all imports share, in bytes per second
 * @param evictAfterMillis the time after a prefill until its KV cache is evicted unless an import
 *     begins, in milliseconds
 * @param exportTimeoutMillis the time after the start of an import until the source evicts the KV
 *     cache, in milliseconds
 * @since 0.1
 */
public record EngineMemory(
    int slots,
    int queueLimit,
    int kvPieces,
    int prefixPieces,
    long kvBytesPerToken,
    long linkBytesPerSecond,
    long evictAfterMillis,
    long exportTimeoutMillis) {
  /** Twenty slots, and 32 ms on the link for a prompt of 2,000 tokens. */
  public static final EngineMemory DEFAULTS =
      new EngineMemory(20, 64, 400, 200, 160_000, 10_000_000_000L, 800, 5_000);

  /**
   * Returns a copy with another number of slots.
   *
   * @param value the maximum number of requests that a decode engine holds
   * @return the copy
   */
  public EngineMemory withSlots(int value) {
    return new EngineMemory(
        value,
        queueLimit,
        kvPieces,
        prefixPieces,
        kvBytesPerToken,
        linkBytesPerSecond,
        evictAfterMillis,
        exportTimeoutMillis);
  }

  /**
   * Returns a copy with another time until an unimported KV cache is evicted.
   *
   * @param value the time in milliseconds
   * @return the copy
   */
  public EngineMemory withEvictAfterMillis(long value) {
    return new EngineMemory(
        slots,
        queueLimit,
        kvPieces,
        prefixPieces,
        kvBytesPerToken,
        linkBytesPerSecond,
        value,
        exportTimeoutMillis);
  }

  /**
   * Returns a copy with another rate of the link.
   *
   * @param value the rate in bytes per second
   * @return the copy
   */
  public EngineMemory withLinkBytesPerSecond(long value) {
    return new EngineMemory(
        slots,
        queueLimit,
        kvPieces,
        prefixPieces,
        kvBytesPerToken,
        value,
        evictAfterMillis,
        exportTimeoutMillis);
  }
}
