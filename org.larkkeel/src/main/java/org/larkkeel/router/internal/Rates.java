/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * How fast one upstream works, learnt from what it did; before that, from its like.
 *
 * <p>Prefill time is a line over the tokens computed, the time between tokens a line over the
 * requests that run together, the time of a plain call a mean. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Rates {
  private static final double KEEP = 0.97;
  private static final int ENOUGH = 3;
  private static final double DEFAULT_PREFILL_NANOS_PER_TOKEN = 100_000;
  private static final double DEFAULT_DECODE_NANOS_PER_TOKEN = 30_000_000;
  private static final double DEFAULT_SERVICE_NANOS = 10_000_000;

  private final Rates prior;
  private final LinearFit prefill = new LinearFit(KEEP);
  private final LinearFit decode = new LinearFit(KEEP);
  private final LinearFit service = new LinearFit(KEEP);
  private final LinearFit stay = new LinearFit(KEEP);

  /**
   * Creates rates without samples.
   *
   * @param prior what is known of the like; null if nothing
   */
  public Rates(Rates prior) {
    this.prior = prior;
  }

  /**
   * Learns from a prefill.
   *
   * @param tokens tokens computed, above 0
   * @param nanos time taken
   */
  public void prefilled(int tokens, long nanos) {
    prefill.add(tokens, (double) nanos);
    if (prior != null) {
      prior.prefilled(tokens, nanos);
    }
  }

  /**
   * Learns from a decode.
   *
   * @param batch requests that ran together
   * @param nanosPerToken mean time between tokens
   */
  public void decoded(double batch, double nanosPerToken) {
    decode.add(batch, nanosPerToken);
    if (prior != null) {
      prior.decoded(batch, nanosPerToken);
    }
  }

  /**
   * Learns how long a decode slot was held.
   *
   * @param nanos time from the start of the transfer to the end
   */
  public void held(long nanos) {
    stay.add(1, (double) nanos);
    if (prior != null) {
      prior.held(nanos);
    }
  }

  /**
   * Learns from a plain call.
   *
   * @param nanos time taken
   */
  public void served(long nanos) {
    service.add(1, (double) nanos);
    if (prior != null) {
      prior.served(nanos);
    }
  }

  /**
   * Predicts a prefill.
   *
   * @param tokens tokens to compute
   * @return nanoseconds
   */
  public double prefillNanos(double tokens) {
    if (known(prefill)) {
      return prefill.predict(tokens);
    }
    return prior == null ? DEFAULT_PREFILL_NANOS_PER_TOKEN * tokens : prior.prefillNanos(tokens);
  }

  /**
   * Predicts the time between tokens.
   *
   * @param batch requests that run together
   * @return nanoseconds a token
   */
  public double decodeNanos(double batch) {
    if (known(decode)) {
      return decode.predict(batch);
    }
    return prior == null ? DEFAULT_DECODE_NANOS_PER_TOKEN : prior.decodeNanos(batch);
  }

  /**
   * Predicts how long a decode slot is held.
   *
   * @return nanoseconds; 0 if unknown
   */
  public double heldNanos() {
    if (known(stay)) {
      return stay.mean();
    }
    return prior == null ? 0 : prior.heldNanos();
  }

  /**
   * Predicts a plain call.
   *
   * @return nanoseconds
   */
  public double serviceNanos() {
    if (known(service)) {
      return service.mean();
    }
    return prior == null ? DEFAULT_SERVICE_NANOS : prior.serviceNanos();
  }

  /**
   * The learnt prefill rate.
   *
   * @return tokens a second; 0 if unknown
   */
  public double prefillTokensPerSecond() {
    return prefill.samples() == 0 ? 0 : 1e9 / Math.max(1, prefill.ratio());
  }

  /**
   * The learnt time between tokens.
   *
   * @return nanoseconds a token; 0 if unknown
   */
  public double decodeNanosPerToken() {
    return decode.mean();
  }

  private boolean known(LinearFit fit) {
    return fit.samples() >= (prior == null ? 1 : ENOUGH);
  }
}
