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
 * The known state of one upstream; kept while the upstream is configured or has attempts.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class UpstreamState {
  private static final long RELEASE_RATE_MAX_AGE_NANOS = 50_000_000L;

  /** The name of the upstream. */
  public final UpstreamName name;

  /** The estimated speeds. */
  public final SpeedEstimates speeds;

  /** The slots. */
  public final SlotLedger slots = new SlotLedger();

  /** The transfers on the link. */
  public final LinkLedger link = new LinkLedger();

  /** The prefill work. */
  public final PrefillLedger prefills = new PrefillLedger();

  /** The known contents of the prefix cache. */
  public final PrefixCache cache;

  /** The ejection state. */
  public final Health health;

  /** The timer for the end of an ejection. */
  public final Timer probeTimer;

  /** The attempts of this node at the upstream. */
  public final Map<AttemptId, Attempt> attempts = new LinkedHashMap<>();

  final List<Membership> memberships = new ArrayList<>(2);

  private Upstream config;
  private String dataCentre;
  private boolean configured;
  private Incarnation incarnation;
  private LoadReport report;
  private int failedQueries;
  private double releaseRate;
  private long releaseRateUntil;

  /**
   * Creates the state of an upstream.
   *
   * @param config the configured upstream
   * @param similar the speeds of similar upstreams, used until this one has samples
   * @param index the index of prefixes over all upstreams
   * @param health the ejection state
   * @param onProbe the action at the end of an ejection
   */
  public UpstreamState(
      Upstream config, SpeedEstimates similar, PrefixIndex index, Health health, Runnable onProbe) {
    this.name = config.name();
    this.speeds = new SpeedEstimates(similar);
    this.cache = new PrefixCache(this, index);
    this.health = health;
    this.probeTimer = new Timer(onProbe);
    configure(config);
  }

  /**
   * Applies a changed configuration of the upstream.
   *
   * @param newConfig the configured upstream
   */
  public void configure(Upstream newConfig) {
    config = newConfig;
    dataCentre = newConfig.labels().get(Upstream.DATA_CENTRE_LABEL).orElse("");
    configured = true;
    slots.setLimit(newConfig.slots());
    link.setRate(newConfig.linkBytesPerSecond());
  }

  /** Records that the configuration no longer contains the upstream. */
  public void markRemoved() {
    configured = false;
  }

  /**
   * Returns the configured upstream.
   *
   * @return the upstream as last configured
   */
  public Upstream config() {
    return config;
  }

  /**
   * Returns whether the configuration contains the upstream.
   *
   * @return true if so
   */
  public boolean isConfigured() {
    return configured;
  }

  /**
   * Returns the data centre of the upstream.
   *
   * @return the name; empty if the upstream has no such label
   */
  public String dataCentre() {
    return dataCentre;
  }

  /**
   * Applies a load report. A report of another incarnation means that the upstream restarted, even
   * if the incarnation is smaller, as clocks can be set back. If such a report describes a time
   * before the last report, it is a late one of an earlier incarnation and is ignored.
   *
   * @param newReport the report
   * @return true if the upstream restarted since the last report
   */
  public boolean applyReport(LoadReport newReport) {
    failedQueries = 0;
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
    slots.applyReport(newReport);
    prefills.setPrefillsOfOthers(
        Math.max(0, newReport.running() + newReport.waiting() - prefills.running()));
    return restarted;
  }

  /**
   * Returns whether a report names the same models as the last one.
   *
   * @param newReport the report
   * @return true if the set of served models does not change
   */
  public boolean reportsModels(LoadReport newReport) {
    return report == null
        ? newReport.models().isEmpty()
        : report.models().equals(newReport.models());
  }

  /**
   * Counts a failed query of the load.
   *
   * @return the number of consecutive failed queries
   */
  public int countFailedQuery() {
    failedQueries++;
    return failedQueries;
  }

  /**
   * Returns whether the last query of the load failed.
   *
   * @return true if so
   */
  public boolean isUnresponsive() {
    return failedQueries > 0;
  }

  /**
   * Returns the incarnation that the upstream last reported.
   *
   * @return the incarnation; null if unknown
   */
  public Incarnation incarnation() {
    return incarnation;
  }

  /**
   * Returns whether the upstream serves a model.
   *
   * @param model the model
   * @return true if the upstream is declared for the model and the last report, if it names any
   *     models, contains it
   */
  public boolean serves(ModelName model) {
    return config.models().contains(model)
        && (report == null || report.models().isEmpty() || report.models().contains(model));
  }

  /**
   * Returns whether the upstream accepts new requests.
   *
   * @return true if it is configured, not leaving, and either not ejected or free for a probe
   */
  public boolean acceptsRequests() {
    return configured && !config.isLeaving() && health.accepts(attempts.size());
  }

  /**
   * Returns the predicted rate of slot releases, which is recomputed only at intervals.
   *
   * @param now the time
   * @return slots per nanosecond
   */
  double releaseRate(long now) {
    if (now >= releaseRateUntil) {
      releaseRateUntil = now + RELEASE_RATE_MAX_AGE_NANOS;
      releaseRate = ReleasePredictor.rate(this, now);
    }
    return releaseRate;
  }

  void addMembership(Membership member) {
    memberships.add(member);
  }

  void removeMembership(Membership member) {
    memberships.remove(member);
  }
}
