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
 * The settings of a router.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policyName the name of this set of policies in reported results
 * @param placement the rule by which an upstream is chosen
 * @param reservation the condition on decode slots under which a prefill may start
 * @param queue the handling of a request that can't be placed at once
 * @param retry the conditions on the number and the delay of retries
 * @param ejection true if a failing upstream is ejected, so that it gets no requests for a time
 * @param sharedSlots true if the owner of the slots of an upstream grants them to nodes; otherwise
 *     this node uses all slots that are free according to the load reports
 * @param dataCentre the data centre of this node; empty if unknown
 * @param kvHoldNanos the time for which an engine is expected to hold a KV cache after the prefill,
 *     in nanoseconds
 * @param prefillDepth the maximum number of concurrent prefills of this node at one engine
 * @param smallPromptTokens the maximum size of a small prompt, in tokens; small prompts are served
 *     ahead of long ones
 * @param maxQueued the maximum number of requests in progress; more are refused
 * @param defaultOutputTokens the expected length of an answer before any was observed, in tokens
 * @param ejectAfter the number of consecutive failures that ejects an upstream
 * @param ejectNanos the duration of the first ejection, in nanoseconds; each further one lasts
 *     twice as long, up to 32 times this value
 * @param cancelRetryNanos the first delay before a cancel is retried, in nanoseconds; it doubles up
 *     to 16 times this value
 * @param wantNanos the interval between requests for slots and limits, in nanoseconds
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
  /** The default policies. */
  public static final String CURRENT = "larkkeel";

  /** The default policies, but with a free decode slot reserved before the prefill starts. */
  public static final String STRICT = "larkkeel-strict";

  /** The default policies, but without any reservation of slots. */
  public static final String UNRESERVED = "larkkeel-unreserved";

  /** Baseline: a random upstream with free capacity, no reservation, immediate retries. */
  public static final String RANDOM = "random";

  /**
   * Baseline: the upstream with free capacity and the fewest requests, no reservation, immediate
   * retries.
   */
  public static final String LEAST_OUTSTANDING = "least-outstanding";

  /** The names that {@link #named} accepts. */
  public static final ImmutableList<String> NAMES =
      ImmutableList.of(CURRENT, STRICT, UNRESERVED, RANDOM, LEAST_OUTSTANDING);

  /** Checks that the values are in range. */
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
   * Returns the default settings.
   *
   * @return settings with the default policies
   */
  public static RouterSettings defaults() {
    return builder().build();
  }

  /**
   * Returns a builder that starts from the defaults.
   *
   * @return a new builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns a builder that starts from a named set of policies.
   *
   * @param name one of {@link #NAMES}
   * @return a new builder
   * @throws IllegalArgumentException if the name is unknown; the message lists the known names
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
        .retry(new RetryPolicy.Immediate())
        .ejection(false);
  }

  /**
   * A builder of settings; a value that is not set keeps its default.
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
     * Sets the name of the policies in reported results.
     *
     * @param value the name
     * @return this
     */
    public Builder policyName(String value) {
      policyName = value;
      return this;
    }

    /**
     * Sets the rule by which an upstream is chosen.
     *
     * @param value the policy
     * @return this
     */
    public Builder placement(PlacementPolicy value) {
      placement = value;
      return this;
    }

    /**
     * Sets the condition on decode slots under which a prefill may start.
     *
     * @param value the policy
     * @return this
     */
    public Builder reservation(ReservationPolicy value) {
      reservation = value;
      return this;
    }

    /**
     * Sets the handling of a request that can't be placed at once.
     *
     * @param value the policy
     * @return this
     */
    public Builder queue(QueuePolicy value) {
      queue = value;
      return this;
    }

    /**
     * Sets the conditions on the number and the delay of retries.
     *
     * @param value the policy
     * @return this
     */
    public Builder retry(RetryPolicy value) {
      retry = value;
      return this;
    }

    /**
     * Sets whether a failing upstream is ejected for a time.
     *
     * @param value true to eject failing upstreams
     * @return this
     */
    public Builder ejection(boolean value) {
      ejection = value;
      return this;
    }

    /**
     * Sets whether this node uses only the slots that their owner grants to it.
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
     * Sets the time for which an engine is expected to hold a KV cache after the prefill.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder kvHoldNanos(long value) {
      kvHoldNanos = value;
      return this;
    }

    /**
     * Sets the maximum number of concurrent prefills of this node at one engine.
     *
     * @param value a number above 0
     * @return this
     */
    public Builder prefillDepth(int value) {
      prefillDepth = value;
      return this;
    }

    /**
     * Sets the maximum size of a small prompt; small prompts are served ahead of long ones.
     *
     * @param value tokens
     * @return this
     */
    public Builder smallPromptTokens(int value) {
      smallPromptTokens = value;
      return this;
    }

    /**
     * Sets the maximum number of requests in progress.
     *
     * @param value a number above 0
     * @return this
     */
    public Builder maxQueued(int value) {
      maxQueued = value;
      return this;
    }

    /**
     * Sets the expected length of an answer before any was observed.
     *
     * @param value tokens, above 0
     * @return this
     */
    public Builder defaultOutputTokens(int value) {
      defaultOutputTokens = value;
      return this;
    }

    /**
     * Sets the number of consecutive failures that ejects an upstream.
     *
     * @param value a number above 0
     * @return this
     */
    public Builder ejectAfter(int value) {
      ejectAfter = value;
      return this;
    }

    /**
     * Sets the duration of the first ejection.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder ejectNanos(long value) {
      ejectNanos = value;
      return this;
    }

    /**
     * Sets the first delay before a cancel is retried.
     *
     * @param value nanoseconds, above 0
     * @return this
     */
    public Builder cancelRetryNanos(long value) {
      cancelRetryNanos = value;
      return this;
    }

    /**
     * Sets the interval between requests for slots and limits.
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
