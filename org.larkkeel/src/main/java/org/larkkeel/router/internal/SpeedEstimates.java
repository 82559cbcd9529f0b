/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The speeds of one upstream, estimated from its own work, or from similar upstreams until there
 * are enough samples.
 *
 * <p>The prefill time is modelled as a linear function of the computed tokens, the time between
 * tokens as a linear function of the concurrent requests, and the time of a plain call as a mean.
 * Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SpeedEstimates {
  private static final double SAMPLE_DECAY = 0.97;
  private static final int MIN_SAMPLES = 3;
  private static final double DEFAULT_PREFILL_NANOS_PER_TOKEN = 100_000;
  private static final double DEFAULT_DECODE_NANOS_PER_TOKEN = 30_000_000;
  private static final double DEFAULT_SERVICE_NANOS = 10_000_000;

  private final SpeedEstimates similar;
  private final LinearFit prefill = new LinearFit(SAMPLE_DECAY);
  private final LinearFit decode = new LinearFit(SAMPLE_DECAY);
  private final LinearFit service = new LinearFit(SAMPLE_DECAY);
  private final LinearFit slotHold = new LinearFit(SAMPLE_DECAY);

  /**
   * Creates estimates without samples.
   *
   * @param similar the estimates of similar upstreams, which also receive each sample; null if none
   */
  public SpeedEstimates(SpeedEstimates similar) {
    this.similar = similar;
  }

  /**
   * Adds a sample of a prefill.
   *
   * @param tokens the number of computed tokens, above 0
   * @param nanos the duration
   */
  public void recordPrefill(int tokens, long nanos) {
    prefill.add(tokens, (double) nanos);
    if (similar != null) {
      similar.recordPrefill(tokens, nanos);
    }
  }

  /**
   * Adds a sample of a decode.
   *
   * @param batch the mean number of concurrent requests
   * @param nanosPerToken the mean time between tokens
   */
  public void recordDecode(double batch, double nanosPerToken) {
    decode.add(batch, nanosPerToken);
    if (similar != null) {
      similar.recordDecode(batch, nanosPerToken);
    }
  }

  /**
   * Adds a sample of the time for which a decode slot was held.
   *
   * @param nanos the time from the start of the transfer to the end of the decode
   */
  public void recordSlotHold(long nanos) {
    slotHold.add(1, (double) nanos);
    if (similar != null) {
      similar.recordSlotHold(nanos);
    }
  }

  /**
   * Adds a sample of a plain call.
   *
   * @param nanos the duration
   */
  public void recordService(long nanos) {
    service.add(1, (double) nanos);
    if (similar != null) {
      similar.recordService(nanos);
    }
  }

  /**
   * Predicts the duration of a prefill.
   *
   * @param tokens the number of tokens to compute
   * @return nanoseconds
   */
  public double prefillNanos(double tokens) {
    if (hasEnoughSamples(prefill)) {
      return prefill.predict(tokens);
    }
    return similar == null
        ? DEFAULT_PREFILL_NANOS_PER_TOKEN * tokens
        : similar.prefillNanos(tokens);
  }

  /**
   * Predicts the time between tokens.
   *
   * @param batch the number of concurrent requests
   * @return nanoseconds per token
   */
  public double decodeNanos(double batch) {
    if (hasEnoughSamples(decode)) {
      return decode.predict(batch);
    }
    return similar == null ? DEFAULT_DECODE_NANOS_PER_TOKEN : similar.decodeNanos(batch);
  }

  /**
   * Predicts the time for which a decode slot is held.
   *
   * @return nanoseconds; 0 if unknown
   */
  public double slotHoldNanos() {
    if (hasEnoughSamples(slotHold)) {
      return slotHold.mean();
    }
    return similar == null ? 0 : similar.slotHoldNanos();
  }

  /**
   * Predicts the duration of a plain call.
   *
   * @return nanoseconds
   */
  public double serviceNanos() {
    if (hasEnoughSamples(service)) {
      return service.mean();
    }
    return similar == null ? DEFAULT_SERVICE_NANOS : similar.serviceNanos();
  }

  /**
   * Returns the measured prefill speed of this upstream.
   *
   * @return tokens per second; 0 if unknown
   */
  public double prefillTokensPerSecond() {
    return prefill.samples() == 0 ? 0 : 1e9 / Math.max(1, prefill.ratio());
  }

  /**
   * Returns the measured mean time between tokens of this upstream.
   *
   * @return nanoseconds per token; 0 if unknown
   */
  public double decodeNanosPerToken() {
    return decode.mean();
  }

  private boolean hasEnoughSamples(LinearFit fit) {
    return fit.samples() >= (similar == null ? 1 : MIN_SAMPLES);
  }
}
