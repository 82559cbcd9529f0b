/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import org.larkkeel.effect.Fact;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one log line of key=value pairs for each fact.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class FactLog {
  private static final Logger log = LoggerFactory.getLogger(FactLog.class);

  private FactLog() {}

  /**
   * Writes a fact.
   *
   * @param fact the fact, never null
   */
  public static void write(Fact fact) {
    switch (fact) {
      case Fact.Answered f ->
          log.info(
              "event=answered request={} rule={} within_targets={} first_ns={} between_ns={}"
                  + " tokens={}",
              f.request(),
              f.rule(),
              f.withinTargets(),
              f.firstNanos(),
              f.interTokenNanos(),
              f.tokens());
      case Fact.Refused f -> log.info("event=refused request={} kind={}", f.request(), f.kind());
      case Fact.Placed f ->
          log.debug(
              "event=placed request={} attempt={} upstream={}",
              f.request(),
              f.attempt(),
              f.upstream());
      case Fact.Retried f ->
          log.info(
              "event=retried request={} attempt={} upstream={} cause={}",
              f.request(),
              f.attempt(),
              f.upstream(),
              f.cause());
      case Fact.PrefillWasted f ->
          log.info(
              "event=prefill_wasted request={} attempt={} upstream={} tokens={}",
              f.request(),
              f.attempt(),
              f.upstream(),
              f.tokens());
      case Fact.PrefillUsed f ->
          log.debug(
              "event=prefill_used request={} attempt={} upstream={} tokens={}",
              f.request(),
              f.attempt(),
              f.upstream(),
              f.tokens());
      case Fact.Ejected f ->
          log.warn("event=ejected upstream={} for_ns={}", f.upstream(), f.forNanos());
      case Fact.Restored f -> log.info("event=restored upstream={}", f.upstream());
      case Fact.InForce f -> log.info("event=in_force revision={}", f.revision());
      case Fact.PoolEmpty f -> log.warn("event=pool_empty pool={}", f.pool());
    }
  }
}
