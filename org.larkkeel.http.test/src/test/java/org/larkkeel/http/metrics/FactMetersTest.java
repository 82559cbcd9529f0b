/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Fact;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/** Tests the metrics that facts are recorded as. */
public class FactMetersTest {
  private static final RequestId REQUEST = new RequestId(1);
  private static final AttemptId ATTEMPT = new AttemptId(1);
  private static final UpstreamName UPSTREAM = new UpstreamName("u");

  /** The text that is scraped. */
  public static class Scrape {
    /** Each kind of fact is counted under its tags. */
    @Test
    public void countsFacts() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      FactMeters meters = new FactMeters(registry);
      RuleName rule = new RuleName("r");
      long first = TimeUnit.MILLISECONDS.toNanos(500);
      meters.record(new Fact.Answered(REQUEST, rule, true, first, first / 10, 20));
      meters.record(new Fact.Answered(REQUEST, rule, true, first, 0, 1));
      meters.record(new Fact.Answered(REQUEST, rule, false, first, 0, 0));
      meters.record(new Fact.Refused(REQUEST, ErrorKind.NO_UPSTREAM));
      meters.record(new Fact.Retried(REQUEST, ATTEMPT, UPSTREAM, FailureCause.TIMED_OUT));
      meters.record(new Fact.PrefillWasted(REQUEST, ATTEMPT, UPSTREAM, 700));
      meters.record(new Fact.PrefillUsed(REQUEST, ATTEMPT, UPSTREAM, 900));
      meters.record(new Fact.Ejected(UPSTREAM, 1));
      meters.record(new Fact.InForce(new Revision(42)));

      String text = registry.scrape();
      assertLine(text, "larkkeel_requests_answered_total{rule=\"r\",within_targets=\"true\"} 2.0");
      assertLine(text, "larkkeel_requests_answered_total{rule=\"r\",within_targets=\"false\"} 1.0");
      assertLine(text, "larkkeel_requests_refused_total{kind=\"no-upstream\"} 1.0");
      assertLine(text, "larkkeel_attempts_retried_total{cause=\"timed-out\"} 1.0");
      assertLine(text, "larkkeel_prefill_tokens_total{use=\"wasted\"} 700.0");
      assertLine(text, "larkkeel_prefill_tokens_total{use=\"used\"} 900.0");
      assertLine(text, "larkkeel_upstreams_ejected_total{upstream=\"u\"} 1.0");
      assertLine(text, "larkkeel_configuration_revision 42.0");
      assertLine(text, "larkkeel_request_first_seconds_sum{rule=\"r\"} 1.5");
      assertLine(text, "larkkeel_request_between_seconds_count{rule=\"r\"} 1");
    }

    /** The gauge shows the revision that came into force last. */
    @Test
    public void revisionNeverFalls() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      FactMeters meters = new FactMeters(registry);
      meters.record(new Fact.InForce(new Revision(2)));
      meters.record(new Fact.InForce(new Revision(3)));
      assertLine(registry.scrape(), "larkkeel_configuration_revision 3.0");
      assertFalse(registry.scrape().contains("larkkeel_configuration_revision 2.0"));
      assertEquals(registry.get("larkkeel.configuration.revision").gauge().value(), 3.0);
    }

    private static void assertLine(String text, String line) {
      assertTrue(text.lines().anyMatch(line::equals), line + " is missing in\n" + text);
    }
  }
}
