/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.config.Upstream;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.UpstreamName;

/**
 * What the router knows of one upstream; kept while the configuration has it or attempts are there.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class UpstreamState {
  private static final long RELEASE_RATE_NANOS = 50_000_000L;

  /** The name. */
  public final UpstreamName name;

  /** How fast it works. */
  public final Rates rates;

  /** Its slots. */
  public final SlotLedger slots = new SlotLedger();

  /** Its link. */
  public final LinkLedger link = new LinkLedger();

  /** Its prefill work. */
  public final PrefillLedger prefills = new PrefillLedger();

  /** Its prefix cache. */
  public final PrefixCache cache;

  /** Whether it gets requests. */
  public final Health health;

  /** When its ejection ends. */
  public final Timer probeTimer;

  /** Attempts of this node that are there. */
  public final Map<AttemptId, Attempt> attempts = new LinkedHashMap<>();

  final List<Membership> memberships = new ArrayList<>(2);

  private Upstream config;
  private String dataCentre;
  private boolean configured;
  private Incarnation incarnation;
  private LoadReport report;
  private int unanswered;
  private double releaseRate;
  private long releaseRateUntil;

  /**
   * Creates the state of an upstream.
   *
   * @param config what the configuration says
   * @param prior what is known of its like
   * @param index the index of prefixes
   * @param health whether it gets requests
   * @param onProbe what is done when an ejection ends
   */
  public UpstreamState(
      Upstream config, Rates prior, PrefixIndex index, Health health, Runnable onProbe) {
    this.name = config.name();
    this.rates = new Rates(prior);
    this.cache = new PrefixCache(this, index);
    this.health = health;
    this.probeTimer = new Timer(onProbe);
    configure(config);
  }

  /**
   * Takes what the configuration says now.
   *
   * @param newConfig the upstream
   */
  public void configure(Upstream newConfig) {
    config = newConfig;
    dataCentre = newConfig.labels().get(Upstream.DATA_CENTRE_LABEL).orElse("");
    configured = true;
    slots.setLimit(newConfig.slots());
    link.setRate(newConfig.linkBytesPerSecond());
  }

  /** The configuration has it no more. */
  public void removeConfig() {
    configured = false;
  }

  /**
   * What the configuration says, or said last.
   *
   * @return the upstream
   */
  public Upstream config() {
    return config;
  }

  /**
   * Tells whether the configuration has it.
   *
   * @return true if so
   */
  public boolean isConfigured() {
    return configured;
  }

  /**
   * Its data centre.
   *
   * @return the name, empty if it has no such label
   */
  public String dataCentre() {
    return dataCentre;
  }

  /**
   * Takes a report of its load. One of another start tells of a later life, also if the start is
   * smaller, as clocks are set back; unless it describes a time before the last report, so that it
   * is late news of an earlier life and is ignored.
   *
   * @param newReport the report
   * @return true if it started anew since the last one
   */
  public boolean reported(LoadReport newReport) {
    unanswered = 0;
    boolean restarted = incarnation != null && !newReport.incarnation().equals(incarnation);
    if (restarted && newReport.asOf() < report.asOf()) {
      return false;
    }
    if (restarted) {
      slots.restarted();
      cache.restarted(newReport.incarnation());
    }
    incarnation = newReport.incarnation();
    report = newReport;
    slots.reported(newReport);
    prefills.setOthers(Math.max(0, newReport.running() + newReport.waiting() - prefills.running()));
    return restarted;
  }

  /**
   * Tells whether a report names the same models as the last one.
   *
   * @param newReport the report
   * @return true if the set of models that it serves does not change
   */
  public boolean reportsModels(LoadReport newReport) {
    return report == null
        ? newReport.models().isEmpty()
        : report.models().equals(newReport.models());
  }

  /**
   * Its load could not be asked for.
   *
   * @return how often in a row
   */
  public int unanswered() {
    unanswered++;
    return unanswered;
  }

  /**
   * Tells whether its last report is missing.
   *
   * @return true if it did not answer the last time
   */
  public boolean isSilent() {
    return unanswered > 0;
  }

  /**
   * The start that it last reported.
   *
   * @return the incarnation; null if unknown
   */
  public Incarnation incarnation() {
    return incarnation;
  }

  /**
   * Tells whether it serves a model.
   *
   * @param model the model
   * @return true if it is declared for it and has not reported that it is missing
   */
  public boolean serves(ModelName model) {
    return config.models().contains(model)
        && (report == null || report.models().isEmpty() || report.models().contains(model));
  }

  /**
   * Tells whether a new request may be sent to it.
   *
   * @return true if it is configured, not leaving, and healthy enough
   */
  public boolean takesRequests() {
    return configured && !config.isLeaving() && health.takes(attempts.size());
  }

  /**
   * Predicts the rate at which slots come free; at most some time old.
   *
   * @param now the time
   * @return slots a nanosecond
   */
  double releaseRate(long now) {
    if (now >= releaseRateUntil) {
      releaseRateUntil = now + RELEASE_RATE_NANOS;
      releaseRate = Releases.rate(this, now);
    }
    return releaseRate;
  }

  void join(Membership member) {
    memberships.add(member);
  }

  void leave(Membership member) {
    memberships.remove(member);
  }
}
