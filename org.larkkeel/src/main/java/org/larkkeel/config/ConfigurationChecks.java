/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks across the objects of a configuration: duplicate addresses are errors, and selectors that
 * match nothing are warnings.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigurationChecks {
  private final Configuration configuration;
  private final ImmutableList.Builder<Problem> problems = ImmutableList.builder();

  private ConfigurationChecks(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Checks a configuration.
   *
   * @param configuration the configuration, never null
   * @return errors and warnings
   */
  public static Problems check(Configuration configuration) {
    ConfigurationChecks checks = new ConfigurationChecks(configuration);
    checks.checkAddresses();
    checks.checkPools();
    checks.checkRules();
    return new Problems(checks.problems.build());
  }

  private void checkAddresses() {
    Map<String, Upstream> byAddress = new HashMap<>();
    for (Upstream upstream : configuration.upstreams().values()) {
      Upstream earlier = byAddress.putIfAbsent(upstream.address(), upstream);
      if (earlier != null && !upstream.address().isEmpty()) {
        problems.add(
            Problem.error(
                upstream.id().path().child(ConfigurationKeys.ADDRESS),
                quote(upstream.address()),
                "the upstream " + earlier.name() + " has the same address",
                "give each upstream its own address"));
      }
    }
  }

  private void checkPools() {
    for (Pool pool : configuration.pools().values()) {
      if (configuration.upstreams().values().stream()
          .noneMatch(u -> pool.upstreams().matches(u.labels()))) {
        problems.add(
            Problem.warning(
                pool.id().path().child(ConfigurationKeys.UPSTREAMS),
                quote(pool.upstreams().toString()),
                "the selector matches no upstream",
                "correct the selector or label upstreams"));
      }
    }
  }

  private void checkRules() {
    for (Rule rule : configuration.rules().values()) {
      if (configuration.pools().values().stream()
          .noneMatch(p -> rule.pools().matches(p.labels()))) {
        problems.add(
            Problem.warning(
                rule.id().path().child(ConfigurationKeys.POOLS),
                quote(rule.pools().toString()),
                "the selector matches no pool",
                "correct the selector or label pools"));
      }
    }
  }

  private static String quote(String text) {
    return '"' + text + '"';
  }
}
