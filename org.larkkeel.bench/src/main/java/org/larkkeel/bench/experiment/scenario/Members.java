/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.bench.experiment.scenario.Scenario.UpstreamGroup;
import org.larkkeel.config.Role;

/**
 * Lists the upstreams of a scenario one by one.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Members {
  private Members() {}

  /**
   * One upstream of a group.
   *
   * @param name the name of the upstream
   * @param dataCentre the data centre of the upstream
   * @param group the group of the upstream
   */
  public record Member(String name, String dataCentre, UpstreamGroup group) {}

  /**
   * Lists all upstreams.
   *
   * @param scenario the scenario
   * @return one entry per upstream, in the order of the file
   */
  public static ImmutableList<Member> all(Scenario scenario) {
    ImmutableList.Builder<Member> members = ImmutableList.builder();
    for (UpstreamGroup group : scenario.upstreams()) {
      for (int i = 0; i < group.count(); i++) {
        String dataCentre = group.dataCentres().get(i % group.dataCentres().size());
        members.add(new Member(group.name() + "-" + i, dataCentre, group));
      }
    }
    return members.build();
  }

  /**
   * Lists the upstreams of one role.
   *
   * @param scenario the scenario
   * @param role the role
   * @return one entry per upstream
   */
  public static ImmutableList<Member> of(Scenario scenario, Role role) {
    return all(scenario).stream()
        .filter(member -> member.group().role() == role)
        .collect(ImmutableList.toImmutableList());
  }

  static ImmutableSet<String> names(Scenario scenario) {
    return all(scenario).stream().map(Member::name).collect(ImmutableSet.toImmutableSet());
  }
}
