/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.DataCentreName;

/**
 * Settings of a router.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policyName the name under which results of these policies are reported
 * @param placement how an upstream is chosen
 * @param reservation whether a prefill waits for a decode slot
 * @param queue what happens to a request that can't be placed at once
 * @param retry when a failed attempt is followed by another
 * @param ejection whether a failing upstream gets no requests for a time
 * @param sharedSlots whether slots are granted by their owner; otherwise all that the reports leave
 *     are used
 * @param dataCentre the data centre of this node; empty if unknown
 * @param kvHoldNanos how long an engine is counted on to hold a KV cache after the prefill
 * @param prefillDepth prefills of this node inside one engine at once
 * @param smallPromptTokens prompts up to this size pass between long ones
 * @param maxQueued requests that wait at once; more are refused
 * @param defaultOutputTokens tokens expected of an answer before any was seen
 * @param ejectAfter failures in a row that eject an upstream
 * @param ejectNanos the first ejection; it doubles up to 32 times this
 * @param cancelRetryNanos the first delay before a cancel is repeated; it doubles up to 16 times
 *     this
 * @param wantNanos how often slots and limits are asked for
 * @since 0.1
 */
public record RouterSettings(
    String policyName,
    PlacementPolicy placement,
    ReservationPolicy reservation,
    QueuePolicy queue,
    RetryPolicy retry,
    boolean ejection,
    boolean sharedSlots,
    Optional<DataCentreName> dataCentre,
    long kvHoldNanos,
    int prefillDepth,
    int smallPromptTokens,
    int maxQueued,
    int defaultOutputTokens,
    int ejectAfter,
    long ejectNanos,
    long cancelRetryNanos,
    long wantNanos) {
  /** The policies in use. */
  public static final String CURRENT = "larkkeel";

  /** The policies in use, with a slot held from before the prefill. */
  public static final String STRICT = "larkkeel-strict";

  /** The policies in use, without any reservation of slots. */
  public static final String UNRESERVED = "larkkeel-unreserved";

  /** Baseline: a random fitting upstream, no reservation, blind retries. */
  public static final String RANDOM = "random";

  /** Baseline: the fitting upstream with the fewest requests, no reservation, blind retries. */
  public static final String LEAST_OUTSTANDING = "least-outstanding";

  /** The names that {@link #named} knows. */
  public static final ImmutableList<String> NAMES =
      ImmutableList.of(CURRENT, STRICT, UNRESERVED, RANDOM, LEAST_OUTSTANDING);

  /** Checks ranges. */
  public RouterSettings {
    requirePositive("kvHoldNanos", kvHoldNanos);
    requirePositive("prefillDepth", prefillDepth);
    requirePositive("maxQueued", maxQueued);
    requirePositive("defaultOutputTokens", defaultOutputTokens);
    requirePositive("ejectAfter", ejectAfter);
    requirePositive("ejectNanos", ejectNanos);
    requirePositive("cancelRetryNanos", cancelRetryNanos);
    requirePositive("wantNanos", wantNanos);
  }

  private static void requirePositive(String field, long value) {
    if (value <= 0) {
      throw new IllegalArgumentException(field + " is " + value + ": use a number above 0");
    }
  }

  /**
   * The default settings.
   *
   * @return settings with the policies in use
   */
  public static RouterSettings defaults() {
    return builder().build();
  }

  /**
   * Starts from the defaults.
   *
   * @return a builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Starts from a set of policies known by name.
   *
   * @param name one of {@link #NAMES}
   * @return a builder
   * @throws IllegalArgumentException if there is no such set; it lists those there are
   */
  public static Builder named(String name) {
    Builder builder = new Builder().policyName(name);
    return switch (name) {
      case CURRENT -> builder;
      case STRICT -> builder.reservation(new ReservationPolicy.Strict());
      case UNRESERVED -> builder.reservation(new ReservationPolicy.None());
      case RANDOM -> baseline(builder).placement(new PlacementPolicy.Random());
      case LEAST_OUTSTANDING -> baseline(builder).placement(new PlacementPolicy.LeastOutstanding());
      default ->
          throw new IllegalArgumentException(
              "policy is \"" + name + "\": use one of " + String.join(", ", NAMES));
    };
  }

  private static Builder baseline(Builder builder) {
    return builder
        .reservation(new ReservationPolicy.None())
        .queue(new QueuePolicy.Immediate())
        .retry(new RetryPolicy.Blind())
        .ejection(false);
  }

  /**
   * Builds settings; what is not set has its default.
   *
   * <p>Not safe for use by several threads.
   */
  public static final class Builder {
    private String policyName = CURRENT;
    private PlacementPolicy placement = new PlacementPolicy.PredictedFinish(6);
    private ReservationPolicy reservation = new ReservationPolicy.PredictedRelease(0.5, 2.5, 0.3);
    private QueuePolicy queue = new QueuePolicy.ByDeadline();
    private RetryPolicy retry =
        new RetryPolicy.Budgeted(
            0.1, 20, TimeUnit.MILLISECONDS.toNanos(20), TimeUnit.SECONDS.toNanos(2));
    private boolean ejection = true;
    private boolean sharedSlots;
    private Optional<DataCentreName> dataCentre = Optional.empty();
    private long kvHoldNanos = TimeUnit.MILLISECONDS.toNanos(700);
    private int prefillDepth = 2;
    private int smallPromptTokens = 1_000;
    private int maxQueued = 100_000;
    private int defaultOutputTokens = 200;
    private int ejectAfter = 3;
    private long ejectNanos = TimeUnit.SECONDS.toNanos(1);
    private long cancelRetryNanos = TimeUnit.MILLISECONDS.toNanos(100);
    private long wantNanos = TimeUnit.MILLISECONDS.toNanos(200);

    private Builder() {}

    /**
     * Sets the name under which results are reported.
     *
     * @param value the name
     * @return this
     */
    public Builder policyName(String value) {
      policyName = value;
      return this;
    }

    /**
     * Sets how an upstream is chosen.
     *
     * @param value the policy
     * @return this
     */
    public Builder placement(PlacementPolicy value) {
      placement = value;
      return this;
    }

    /**
     * Sets whether a prefill waits for a decode slot.
     *
     * @param value the policy
     * @return this
     */
    public Builder reservation(ReservationPolicy value) {
      reservation = value;
      return this;
    }

    /**
     * Sets what happens to a request that can't be placed at once.
     *
     * @param value the policy
     * @return this
     */
    public Builder queue(QueuePolicy value) {
      queue = value;
      return this;
    }

    /**
     * Sets when a failed attempt is followed by another.
     *
     * @param value the policy
     * @return this
     */
    public Builder retry(RetryPolicy value) {
      retry = value;
      return this;
    }

    /**
     * Sets whether a failing upstream gets no requests for a time.
     *
     * @param value true to eject
     * @return this
     */
    public Builder ejection(boolean value) {
      ejection = value;
      return this;
    }

    /**
     * Sets whether slots are granted by their owner.
     *
     * @param value true to use only granted slots
     * @return this
     */
    public Builder sharedSlots(boolean value) {
      sharedSlots = value;
      return this;
    }

    /**
     * Sets the data centre of this node.
     *
     * @param value the name, empty if unknown
     * @return this
     */
    public Builder dataCentre(Optional<DataCentreName> value) {
      dataCentre = value;
      return this;
    }

    /**
     * Sets how long a KV cache is counted on after its prefill.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder kvHoldNanos(long value) {
      kvHoldNanos = value;
      return this;
    }

    /**
     * Sets the number of prefills of this node inside one engine at once.
     *
     * @param value a number above 0
     * @return this
     */
    public Builder prefillDepth(int value) {
      prefillDepth = value;
      return this;
    }

    /**
     * Sets the size up to which prompts pass between long ones.
     *
     * @param value tokens
     * @return this
     */
    public Builder smallPromptTokens(int value) {
      smallPromptTokens = value;
      return this;
    }

    /**
     * Sets the number of requests that may wait.
     *
     * @param value a number above 0
     * @return this
     */
    public Builder maxQueued(int value) {
      maxQueued = value;
      return this;
    }

    /**
     * Sets the length expected of an answer before any was seen.
     *
     * @param value tokens, above 0
     * @return this
     */
    public Builder defaultOutputTokens(int value) {
      defaultOutputTokens = value;
      return this;
    }

    /**
     * Sets the failures in a row that eject an upstream.
     *
     * @param value a number above 0
     * @return this
     */
    public Builder ejectAfter(int value) {
      ejectAfter = value;
      return this;
    }

    /**
     * Sets the length of the first ejection.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder ejectNanos(long value) {
      ejectNanos = value;
      return this;
    }

    /**
     * Sets the first delay before a cancel is repeated.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder cancelRetryNanos(long value) {
      cancelRetryNanos = value;
      return this;
    }

    /**
     * Sets how often slots and limits are asked for.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder wantNanos(long value) {
      wantNanos = value;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @return the settings
     * @throws IllegalArgumentException if a value is out of range
     */
    public RouterSettings build() {
      return new RouterSettings(
          policyName,
          placement,
          reservation,
          queue,
          retry,
          ejection,
          sharedSlots,
          dataCentre,
          kvHoldNanos,
          prefillDepth,
          smallPromptTokens,
          maxQueued,
          defaultOutputTokens,
          ejectAfter,
          ejectNanos,
          cancelRetryNanos,
          wantNanos);
    }
  }
}
